package org.almondjunction.bench

import org.almondjunction.bench.LocalCluster.Companion.eventually
import org.almondjunction.standins.CompletionText
import org.almondjunction.standins.PlatformFaults
import java.io.IOException
import java.io.UncheckedIOException
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Failures of real processes, connections and the platform. No assertion depends on how long something takes. */
class ProcessFailureTest {
    private fun HttpResponse<*>.outcome(): String = headers().firstValue("X-Outcome").orElse("none")

    private fun assertComplete(answer: String) {
        val id = Regex("\"id\":\"([^\"]+)\"").find(answer)?.groupValues?.get(1) ?: error("No id in: $answer")
        val tokens = Regex("data: \\{").findAll(answer).count()
        val text = CompletionText(id, "wax", chat = true, tokens = tokens)
        assertEquals((0 until tokens).joinToString("") { text.event(it) } + CompletionText.TERMINATOR, answer)
    }

    private fun LocalCluster.assertNoOvercommit() {
        engineStandIns.forEach { engine ->
            assertEquals(0, engine.counts().overcommits)
            assertTrue(engine.counts().peakMemoryMb <= LocalCluster.ENGINE_MEMORY_MB)
        }
    }

    /** Reads a stream to its end and returns its lines, or [BROKEN_CONNECTION] if the connection failed before the end. */
    private fun readToEnd(lines: Iterator<String>): String =
        try {
            lines.asSequence().joinToString("\n")
        } catch (_: UncheckedIOException) {
            BROKEN_CONNECTION
        }

    private fun assertExplicitEnd(rest: String) =
        assertTrue(
            rest == BROKEN_CONNECTION || "event: error" in rest || "data: [DONE]" in rest,
            "The stream ended without a terminator or an error: ${rest.takeLast(200)}",
        )

    @Test
    fun `an agent killed in mid-stream ends the stream explicitly and later requests are routed around it`() {
        LocalCluster().use { cluster ->
            cluster.apply(number = 1, replicas = 2)
            val lines = cluster.lines(cluster.chat(entry = 0, tokens = 2_000))
            repeat(5) { lines.next() }
            val busy = cluster.engineStandIns.indexOfFirst { it.counts().runs.isNotEmpty() }
            cluster.agentNodes[busy].kill()
            assertExplicitEnd(readToEnd(lines))
            val next = cluster.send(cluster.chat(entry = 0))
            assertEquals("served", next.outcome(), next.body())
            assertComplete(next.body())
            cluster.agentNodes[busy].restart()
            eventually("the restarted agent has the state") { "\"engine-$busy\"" in cluster.status(0) + cluster.status(1) }
            cluster.assertNoOvercommit()
        }
    }

    @Test
    fun `an entry host killed in mid-stream never ends a stream silently`() {
        LocalCluster().use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            val lines = cluster.lines(cluster.chat(entry = 0, tokens = 4_000))
            repeat(5) { lines.next() }
            cluster.entryNodes[0].kill()
            assertExplicitEnd(readToEnd(lines))
            eventually("the abandoned request is cancelled at its engine") { cluster.engineStandIns.sumOf { it.counts().cancels } > 0 }
            val next = cluster.send(cluster.chat(entry = 1))
            assertEquals("served", next.outcome())
        }
    }

    @Test
    fun `a request whose caller disconnects is cancelled at the engine`() {
        LocalCluster(engines = 1, entries = 1).use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            val answer = cluster.sendAsync(cluster.chat(entry = 0, tokens = 100_000, timeoutMs = 600_000))
            eventually("the request runs") {
                cluster.engineStandIns
                    .single()
                    .counts()
                    .runs
                    .isNotEmpty()
            }
            answer.cancel(true)
            eventually("the request is cancelled at its engine") {
                cluster.engineStandIns
                    .single()
                    .counts()
                    .cancels > 0
            }
        }
    }

    @Test
    fun `an agent paused while the replica count is lowered resumes without a surplus replica`() {
        LocalCluster().use { cluster ->
            cluster.apply(number = 1, replicas = 2)
            cluster.apply(number = 2, replicas = 1, models = listOf("klister"))
            val paused = 0
            cluster.agentNodes[paused].signal("STOP")
            val answers = List(6) { cluster.sendAsync(cluster.chat(entry = it % 2, model = "klister", timeoutMs = 3_000)) }
            answers.forEach { answer -> assertTrue(answer.join().outcome() in setOf("served", "not-run", "unknown")) }
            cluster.agentNodes[paused].signal("CONT")
            cluster.apply(number = 3, replicas = 1, version = "2")
            eventually("a request is served") { cluster.send(cluster.chat(entry = 0)).outcome() == "served" }
            cluster.assertNoOvercommit()
            eventually("one replica at most is loaded") {
                cluster.engineStandIns.count { engine -> engine.counts().memoryMb >= 60 && "wax/2" in engine.counts().loads } <= 1
            }
        }
    }

    @Test
    fun `a platform outage prevents no model load, refuses keyed requests as not run and lets an entry host restart from its peer`() {
        LocalCluster().use { cluster ->
            cluster.apply(number = 1, replicas = 2, models = listOf("wax", "klister"))
            cluster.platform.setFaults(PlatformFaults(outage = true))
            assertEquals("served", cluster.send(cluster.chat(entry = 0, model = "klister")).outcome())
            val refused = cluster.send(cluster.booking(entry = 0, key = "deposit-1"))
            assertEquals("not-run", refused.outcome())
            assertTrue("idempotency-store-unavailable" in refused.body())
            assertEquals(emptyMap(), cluster.service.runCounts)
            cluster.entryNodes[1].kill()
            cluster.entryNodes[1].restart()
            cluster.awaitReady(1)
            assertEquals("served", cluster.send(cluster.chat(entry = 1, model = "klister")).outcome())
            cluster.platform.setFaults(PlatformFaults())
            eventually("the booking is served") { cluster.send(cluster.booking(entry = 1, key = "deposit-1")).outcome() == "served" }
            assertEquals(mapOf("deposit-1" to 1), cluster.service.runCounts)
        }
    }

    @Test
    fun `a booking repeated over entry hosts, lost replies and a killed agent runs at most once`() {
        LocalCluster().use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            cluster.platform.setFaults(PlatformFaults(loseReplies = 3))
            val answers = List(12) { cluster.sendAsync(cluster.booking(entry = it % 2, key = "deposit-${it % 4}")) }
            cluster.serviceAgent.kill()
            cluster.serviceAgent.restart()
            answers.forEach { answer -> assertTrue(answer.join().outcome() in setOf("served", "not-run", "unknown")) }
            repeat(4) { cluster.send(cluster.booking(entry = it % 2, key = "deposit-$it")) }
            assertTrue(
                cluster.service.runCounts.values
                    .all { it == 1 },
                cluster.service.runCounts.toString(),
            )
            val other = cluster.send(cluster.booking(entry = 0, key = "deposit-0", body = """{"slot":2}"""))
            assertEquals("not-run", other.outcome())
        }
    }

    @Test
    fun `every process is restarted in turn under load and no caller sees an error`() {
        LocalCluster().use { cluster ->
            cluster.apply(number = 1, replicas = 2)
            var running = true
            val load = List(4) { worker -> CompletableFuture.supplyAsync { loop(cluster, worker) { running } } }
            (cluster.agentNodes + cluster.entryNodes).forEach { node ->
                node.signal("TERM")
                assertEquals(0, node.awaitExit(), "${node.name} did not stop gracefully.")
                node.restart()
                cluster.entryNodes.indices.forEach { cluster.awaitReady(it) }
                eventually("${node.name} has joined again") {
                    (0..1).count { "\"engine-$it\"" in cluster.status(0) + cluster.status(1) } ==
                        2
                }
            }
            running = false
            val errors = load.flatMap { it.join() }
            assertEquals(emptyList(), errors.take(5))
            cluster.assertNoOvercommit()
        }
    }

    /** Sends requests to any ready entry host, as the platform's balancer does, and describes each answer that failed or was incomplete. */
    private fun loop(
        cluster: LocalCluster,
        worker: Int,
        running: () -> Boolean,
    ): List<String> {
        val errors = mutableListOf<String>()
        var count = worker
        while (running()) {
            val entry = count++ % 2
            if (!cluster.isReady(entry)) continue
            try {
                val answer = cluster.send(cluster.chat(entry, tokens = 40))
                if (answer.outcome() != "served" ||
                    !answer.body().endsWith(CompletionText.TERMINATOR)
                ) {
                    errors += "${answer.outcome()}: ${answer.body().takeLast(300)}"
                }
            } catch (exception: IOException) {
                errors += "entry $entry: $exception"
            }
        }
        return errors
    }

    @Test
    fun `first requests at every entry host cause one load`() {
        LocalCluster().use { cluster ->
            cluster.apply(number = 1, replicas = 2)
            val answers = List(20) { cluster.sendAsync(cluster.chat(entry = it % 2)) }
            answers.forEach { answer ->
                assertEquals("served", answer.join().outcome())
                assertComplete(answer.join().body())
            }
            assertEquals(1L, cluster.engineStandIns.sumOf { engine -> engine.counts().loads["wax/1"] ?: 0 })
        }
    }

    @Test
    fun `a target that is leaving gets no new requests and completes its stream`() {
        LocalCluster().use { cluster ->
            cluster.apply(number = 1, replicas = 2)
            val lines = cluster.lines(cluster.chat(entry = 0, tokens = 1_500))
            repeat(5) { lines.next() }
            val busy = cluster.engineStandIns.indexOfFirst { it.counts().runs.isNotEmpty() }
            cluster.publishHosts(leaving = setOf("engine-$busy"))
            eventually("new requests go elsewhere") {
                val before =
                    cluster.engineStandIns[busy]
                        .counts()
                        .runs.size
                cluster.send(cluster.chat(entry = 0)).outcome() == "served" &&
                    cluster.engineStandIns[busy]
                        .counts()
                        .runs.size == before
            }
            val runsAtNotice =
                cluster.engineStandIns[busy]
                    .counts()
                    .runs.size
            repeat(5) { assertEquals("served", cluster.send(cluster.chat(entry = it % 2)).outcome()) }
            assertEquals(
                runsAtNotice,
                cluster.engineStandIns[busy]
                    .counts()
                    .runs.size,
            )
            assertTrue("data: [DONE]" in readToEnd(lines))
            eventually("the model has left the leaving target") { cluster.engineStandIns[busy].counts().memoryMb == 0L }
        }
    }

    @Test
    fun `a connection that goes silent is replaced and its streams continue without gaps or repetition`() {
        val cases =
            listOf(
                "both ways" to (true to true),
                "towards the agent" to (true to false),
                "towards the entry host" to (false to true),
            )
        LocalCluster(engines = 1, entries = 1, relayed = true).use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            cases.forEach { (name, silent) ->
                val answer = cluster.sendAsync(cluster.chat(entry = 0, tokens = 600))
                val before =
                    cluster.engineStandIns
                        .single()
                        .counts()
                        .runs.size
                eventually("the request runs") {
                    cluster.engineStandIns
                        .single()
                        .counts()
                        .runs.size > before - 1
                }
                Thread.sleep(200)
                cluster.relays.single().silence(forward = silent.first, backward = silent.second)
                assertEquals("served", answer.join().outcome(), name)
                assertComplete(answer.join().body())
            }
            assertTrue("reason=\"silent\"" in cluster.metrics(0), "No connection was replaced, so the replacement was not tested.")
        }
    }

    @Test
    fun `an engine that hangs after the first token ends the stream explicitly at its deadline`() {
        LocalCluster(engines = 1, entries = 1).use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            val lines = cluster.lines(cluster.chat(entry = 0, tokens = 500, timeoutMs = 6_000))
            lines.next()
            cluster.engineStandIns.single().hanging = true
            val rest = readToEnd(lines)
            assertTrue("event: error" in rest && "target-silent" in rest, rest.takeLast(300))
            cluster.engineStandIns.single().hanging = false
            assertEquals("served", cluster.send(cluster.chat(entry = 0)).outcome())
        }
    }

    @Test
    fun `invalid input is refused with a reason and does not affect other requests`() {
        LocalCluster(engines = 1, entries = 1).use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            val good = cluster.sendAsync(cluster.chat(entry = 0, tokens = 400))
            val cases =
                listOf(
                    cluster.rawChat(entry = 0, body = "{not json") to "malformed-request",
                    cluster.rawChat(entry = 0, body = "[]") to "malformed-request",
                    cluster.rawChat(entry = 0, body = """{"model":7}""") to "malformed-request",
                    cluster.rawChat(entry = 0, body = """{"model":"none"}""") to "model-not-offered",
                    cluster.rawChat(entry = 0, body = """{"model":"wax"}""", timeout = "soon") to "malformed-request",
                    cluster.rawChat(entry = 0, body = """{"model":"wax","pad":"${"x".repeat(1_100_000)}"}""") to "body-too-large",
                )
            cases.forEach { (request, reason) ->
                val answer = cluster.send(request)
                assertEquals("not-run", answer.outcome())
                assertTrue("\"reason\":\"$reason\"" in answer.body(), answer.body())
            }
            listOf(
                ByteArray(64) {
                    1
                },
                byteArrayOf(0x7f, 0, 0, 0),
                byteArrayOf(0, 0, 0, 4, 1, 2, 3, 4),
            ).forEach { cluster.writeInternal(entry = 0, it) }
            eventually("the protocol errors are counted") { "almondjunction_protocol_errors_total" in cluster.metrics(0) }
            assertEquals("served", good.join().outcome())
            assertComplete(good.join().body())
        }
    }

    private companion object {
        const val BROKEN_CONNECTION = "broken connection"
    }
}
