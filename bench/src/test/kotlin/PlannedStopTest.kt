package org.almondjunction.bench

import org.almondjunction.bench.LocalCluster.Companion.eventually
import org.almondjunction.decisions.StoreKeys
import org.almondjunction.standins.PlatformFaults
import java.io.IOException
import java.io.InputStream
import java.io.UncheckedIOException
import java.net.Socket
import java.net.http.HttpResponse
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Planned stops of real processes that end while callers still wait. No assertion depends on how long something takes. */
class PlannedStopTest {
    private fun HttpResponse<*>.outcome(): String = headers().firstValue("X-Outcome").orElse("none")

    private fun LocalCluster.runs() =
        engineStandIns
            .single()
            .counts()
            .runs.size

    private fun LocalCluster.awaitRuns(count: Int) = eventually("$count requests run") { runs() == count }

    private fun LocalCluster.endless(
        model: String = "wax",
        stream: Boolean = true,
    ) = chat(entry = 0, tokens = 1_000_000, model = model, stream = stream, timeoutMs = 600_000)

    /** Reads a stream to its end; a connection that was cut ends it with [CUT]. */
    private fun readToEnd(lines: Iterator<String>): String =
        try {
            lines.asSequence().joinToString("\n")
        } catch (_: UncheckedIOException) {
            CUT
        }

    private fun assertInterrupted(rest: String) =
        assertTrue("event: error" in rest && "\"reason\":\"interrupted\"" in rest, "The stream ended with: ${rest.takeLast(300)}")

    private fun Socket.ask(
        body: String,
        length: Int = body.length,
        timeoutMs: Long = 600_000,
    ) = getOutputStream().write(
        (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n" +
                "X-Request-Timeout-Ms: $timeoutMs\r\nContent-Length: $length\r\n\r\n$body"
        ).toByteArray(),
    )

    /** Reads the head of an answer, or what came of it before the connection ended. */
    private fun InputStream.head(): String {
        val head = StringBuilder()
        try {
            while (!head.endsWith("\r\n\r\n")) head.append(read().also { if (it < 0) return head.toString() }.toChar())
        } catch (failure: IOException) {
            head.append(failure)
        }
        return head.toString()
    }

    /** Guards against a caller that gets a closed connection in place of an answer since its request was not read whole when a stop began. */
    @Test
    fun `an entry host that stops refuses what it has not read whole`() {
        LocalCluster(engines = 1, entries = 1).use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            cluster.connect(entry = 0).use { caller ->
                caller.ask(body = "{", length = 100)
                cluster.entryNodes[0].signal("TERM")
                val head = caller.getInputStream().head()
                assertTrue("X-Outcome: not-run" in head, head)
            }
            assertEquals(0, cluster.entryNodes[0].awaitExit())
        }
    }

    /** Guards against an answer whose end is lost since its caller reads slowly while its entry host stops. */
    @Test
    fun `an entry host stops only when its answers are written to their end`() {
        LocalCluster(engines = 1, entries = 1, tokenMs = 0).use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            cluster.connect(entry = 0).use { caller ->
                caller.ask(body = """{"model":"wax","stream":false,"max_tokens":$LARGE_ANSWER_TOKENS}""")
                val head = caller.getInputStream().head()
                val length = checkNotNull(Regex("Content-Length: (\\d+)").find(head), { head }).groupValues[1].toInt()
                cluster.entryNodes[0].signal("TERM")
                cluster.entryNodes[0].process.waitFor(ROOM_FOR_THE_FAULT_S, TimeUnit.SECONDS)
                assertEquals(length, caller.getInputStream().readNBytes(length).size)
            }
            assertEquals(0, cluster.entryNodes[0].awaitExit())
        }
    }

    /** Guards against a booking that was served and, repeated under its key at another entry host, is called unknown for ever. */
    @Test
    fun `an entry host stops only when the outcome of a keyed request is on record`() {
        LocalCluster(engines = 1, serviceWorkMs = 2_000).use { cluster ->
            val answer = cluster.sendAsync(cluster.booking(entry = 0, key = "deposit-1"))
            eventually("the booking runs") { cluster.service.runCounts["deposit-1"] == 1 }
            cluster.platform.setFaults(PlatformFaults(outage = true))
            assertEquals("served", answer.join().outcome())
            cluster.entryNodes[0].signal("TERM")
            cluster.entryNodes[0].process.waitFor(ROOM_FOR_THE_FAULT_S, TimeUnit.SECONDS)
            cluster.platform.setFaults(PlatformFaults())
            assertEquals(0, cluster.entryNodes[0].awaitExit())
            val repeated = cluster.send(cluster.booking(entry = 1, key = "deposit-1"))
            assertEquals("served", repeated.outcome(), repeated.body())
            assertEquals(answer.join().body(), repeated.body())
            assertEquals(mapOf("deposit-1" to 1), cluster.service.runCounts)
        }
    }

    /** Guards against callers that get a closed connection in place of an answer when an operator cuts a stop short. */
    @Test
    fun `a second SIGTERM of an entry host ends what is in progress with explicit errors`() {
        LocalCluster(engines = 1, entries = 1).use { cluster ->
            cluster.apply(number = 1, replicas = 1, models = listOf("wax", "klister"))
            val lines = cluster.lines(cluster.endless())
            repeat(5) { lines.next() }
            val whole = cluster.sendAsync(cluster.endless(stream = false))
            cluster.awaitRuns(2)
            val waiting = cluster.sendAsync(cluster.endless(model = "klister"))
            eventually("the agent has the request that waits") { "\"waiting\": 1" in cluster.status() }
            cluster.entryNodes[0].signal("TERM")
            eventually("the stop has begun") { !cluster.isReady(0) }
            cluster.entryNodes[0].signal("TERM")
            assertInterrupted(readToEnd(lines))
            assertEquals("unknown", whole.join().outcome(), whole.join().body())
            assertTrue("\"reason\":\"interrupted\"" in whole.join().body(), whole.join().body())
            assertEquals("not-run", waiting.join().outcome(), waiting.join().body())
            assertEquals(0, cluster.entryNodes[0].awaitExit())
            assertEquals(2, cluster.runs())
            eventually("the engine is told that nobody waits") {
                cluster.engineStandIns
                    .single()
                    .counts()
                    .cancels == 2L
            }
        }
    }

    /** Lets the longest stop of [node] end while a stream and a whole answer are in progress; returns what came of the latter. */
    private fun outlastStop(node: LocalCluster.() -> LocalCluster.Node): HttpResponse<String> =
        LocalCluster(engines = 1, entries = 1, drainLimitMs = 500).use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            val lines = cluster.lines(cluster.endless())
            repeat(5) { lines.next() }
            val whole = cluster.sendAsync(cluster.endless(stream = false))
            cluster.awaitRuns(2)
            cluster.node().signal("TERM")
            assertInterrupted(readToEnd(lines))
            whole.join().also { assertEquals(0, cluster.node().awaitExit()) }
        }

    /** Guards against streams that end in the middle, without a word, when the longest stop of an entry host is over. */
    @Test
    fun `the end of an entry host's longest stop ends what is in progress with explicit errors`() {
        val whole = outlastStop { entryNodes[0] }
        assertEquals("unknown", whole.outcome(), whole.body())
    }

    /** Guards against an agent that goes before entry hosts have heard how its requests ended. */
    @Test
    fun `the end of an agent's longest stop ends what is in progress with explicit errors`() {
        val whole = outlastStop { agentNodes[0] }
        assertTrue("\"reason\":\"interrupted\"" in whole.body(), whole.body())
    }

    /** Guards against a request that never began being called unknown, which spends its idempotency key, when an agent's stop is cut short. */
    @Test
    fun `a second SIGTERM of an agent refuses what waits and ends what runs with explicit errors`() {
        LocalCluster(engines = 1, entries = 1).use { cluster ->
            cluster.apply(number = 1, replicas = 1, models = listOf("wax", "klister"))
            val lines = cluster.lines(cluster.endless())
            repeat(5) { lines.next() }
            val waiting = cluster.sendAsync(cluster.endless(model = "klister"))
            eventually("the agent has the request that waits") { "\"waiting\": 1" in cluster.status() }
            cluster.agentNodes[0].signal("TERM")
            eventually("the stop has begun") { "\"draining\": true" in cluster.status() }
            cluster.agentNodes[0].signal("TERM")
            assertInterrupted(readToEnd(lines))
            assertEquals("not-run", waiting.join().outcome(), waiting.join().body())
            assertEquals(0, cluster.agentNodes[0].awaitExit())
            assertEquals(1, cluster.runs())
        }
    }

    /** Guards against a stop that never ends since something unreadable stands where the controllers' lease is kept. */
    @Test
    fun `an entry host stops though it cannot read the lease that it would give up`() {
        LocalCluster(engines = 1, entries = 1).use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            eventually("the entry host runs the controllers") { "\"leading\": true" in cluster.status() }
            eventually("the lease is unreadable") { cluster.overwrite(StoreKeys.CONTROLLER_LEASE, "nonsense") }
            val answer = cluster.sendAsync(cluster.chat(entry = 0, tokens = 500))
            cluster.awaitRuns(1)
            cluster.entryNodes[0].signal("TERM")
            assertEquals("served", answer.join().outcome(), answer.join().body())
            assertEquals(0, cluster.entryNodes[0].awaitExit())
        }
    }

    private companion object {
        const val CUT = "the connection was cut"

        /** Makes an answer of about 7 MB, which the network's buffers do not take. */
        const val LARGE_ANSWER_TOKENS = 150_000

        /** A process that stops too early has ended by then; one that waits is waited for no longer. */
        const val ROOM_FOR_THE_FAULT_S = 3L
    }
}
