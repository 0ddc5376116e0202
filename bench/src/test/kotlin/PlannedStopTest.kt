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

/** Planned stops of real processes while callers wait for answers. No assertion depends on how long something takes. */
class PlannedStopTest {
    private fun HttpResponse<*>.outcome(): String = headers().firstValue("X-Outcome").orElse("none")

    private fun LocalCluster.runs() =
        engineStandIns
            .single()
            .counts()
            .runs.size

    private fun LocalCluster.awaitRuns(count: Int) = eventually("$count requests run") { runs() == count }

    private fun LocalCluster.endlessChat(
        model: String = "wax",
        stream: Boolean = true,
    ) = chat(entry = 0, tokens = 1_000_000, model = model, stream = stream, timeoutMs = 600_000)

    /** Reads a stream to its end and returns its lines, or [BROKEN_CONNECTION] if the connection failed before the end. */
    private fun readToEnd(lines: Iterator<String>): String =
        try {
            lines.asSequence().joinToString("\n")
        } catch (_: UncheckedIOException) {
            BROKEN_CONNECTION
        }

    private fun assertInterrupted(rest: String) =
        assertTrue("event: error" in rest && "\"reason\":\"interrupted\"" in rest, "The stream ended with: ${rest.takeLast(300)}")

    private fun Socket.sendChat(
        body: String,
        length: Int = body.length,
        timeoutMs: Long = 600_000,
    ) = getOutputStream().write(
        (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n" +
                "X-Request-Timeout-Ms: $timeoutMs\r\nContent-Length: $length\r\n\r\n$body"
        ).toByteArray(),
    )

    /** Reads the head of an answer, or the part of it that arrived before the connection ended. */
    private fun InputStream.head(): String {
        val head = StringBuilder()
        try {
            while (!head.endsWith("\r\n\r\n")) head.append(read().also { if (it < 0) return head.toString() }.toChar())
        } catch (failure: IOException) {
            head.append(failure)
        }
        return head.toString()
    }

    /** Guards against closing the connection without an answer when a request has been read only in part as the stop begins. */
    @Test
    fun `an entry host that stops refuses requests that it has read only in part`() {
        LocalCluster(engines = 1, entries = 1).use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            cluster.connect(entry = 0).use { caller ->
                caller.sendChat(body = "{", length = 100)
                cluster.entryNodes[0].signal("TERM")
                val head = caller.getInputStream().head()
                assertTrue("X-Outcome: not-run" in head, head)
            }
            assertEquals(0, cluster.entryNodes[0].awaitExit())
        }
    }

    /** Guards against truncated answers to callers that read slowly while their entry host stops. */
    @Test
    fun `an entry host stops only when its answers are written to their end`() {
        LocalCluster(engines = 1, entries = 1, tokenMs = 0).use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            cluster.connect(entry = 0).use { caller ->
                caller.sendChat(body = """{"model":"wax","stream":false,"max_tokens":$LARGE_ANSWER_TOKENS}""")
                val head = caller.getInputStream().head()
                val length = checkNotNull(Regex("Content-Length: (\\d+)").find(head), { head }).groupValues[1].toInt()
                cluster.entryNodes[0].signal("TERM")
                cluster.entryNodes[0].process.waitFor(EARLY_EXIT_WINDOW_S, TimeUnit.SECONDS)
                assertEquals(length, caller.getInputStream().readNBytes(length).size)
            }
            assertEquals(0, cluster.entryNodes[0].awaitExit())
        }
    }

    /** Guards against a served booking whose repetition under its key at another entry host is always answered with outcome unknown. */
    @Test
    fun `an entry host stops only when the outcome of a keyed request is on record`() {
        LocalCluster(engines = 1, serviceWorkMs = 2_000).use { cluster ->
            val answer = cluster.sendAsync(cluster.booking(entry = 0, key = "deposit-1"))
            eventually("the booking runs") { cluster.service.runCounts["deposit-1"] == 1 }
            cluster.platform.setFaults(PlatformFaults(outage = true))
            assertEquals("served", answer.join().outcome())
            cluster.entryNodes[0].signal("TERM")
            cluster.entryNodes[0].process.waitFor(EARLY_EXIT_WINDOW_S, TimeUnit.SECONDS)
            cluster.platform.setFaults(PlatformFaults())
            assertEquals(0, cluster.entryNodes[0].awaitExit())
            val repeated = cluster.send(cluster.booking(entry = 1, key = "deposit-1"))
            assertEquals("served", repeated.outcome(), repeated.body())
            assertEquals(answer.join().body(), repeated.body())
            assertEquals(mapOf("deposit-1" to 1), cluster.service.runCounts)
        }
    }

    /** Guards against closing connections without an answer when an operator cuts a graceful stop short. */
    @Test
    fun `a second SIGTERM of an entry host ends requests in progress with explicit errors`() {
        LocalCluster(engines = 1, entries = 1).use { cluster ->
            cluster.apply(number = 1, replicas = 1, models = listOf("wax", "klister"))
            val lines = cluster.lines(cluster.endlessChat())
            repeat(5) { lines.next() }
            val nonStreaming = cluster.sendAsync(cluster.endlessChat(stream = false))
            cluster.awaitRuns(2)
            val waiting = cluster.sendAsync(cluster.endlessChat(model = "klister"))
            eventually("the agent has the request that waits") { "\"waiting\": 1" in cluster.status() }
            cluster.entryNodes[0].signal("TERM")
            eventually("the stop has begun") { !cluster.isReady(0) }
            cluster.entryNodes[0].signal("TERM")
            assertInterrupted(readToEnd(lines))
            assertEquals("unknown", nonStreaming.join().outcome(), nonStreaming.join().body())
            assertTrue("\"reason\":\"interrupted\"" in nonStreaming.join().body(), nonStreaming.join().body())
            assertEquals("not-run", waiting.join().outcome(), waiting.join().body())
            assertEquals(0, cluster.entryNodes[0].awaitExit())
            assertEquals(2, cluster.runs())
            eventually("both requests are cancelled at the engine") {
                cluster.engineStandIns
                    .single()
                    .counts()
                    .cancels == 2L
            }
        }
    }

    /** Stops [node] past its drain limit while a stream and a non-streaming request are in progress; returns the answer to the latter. */
    private fun exceedDrainLimit(node: LocalCluster.() -> LocalCluster.Node): HttpResponse<String> =
        LocalCluster(engines = 1, entries = 1, drainLimitMs = 500).use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            val lines = cluster.lines(cluster.endlessChat())
            repeat(5) { lines.next() }
            val nonStreaming = cluster.sendAsync(cluster.endlessChat(stream = false))
            cluster.awaitRuns(2)
            cluster.node().signal("TERM")
            assertInterrupted(readToEnd(lines))
            nonStreaming.join().also { assertEquals(0, cluster.node().awaitExit()) }
        }

    /** Guards against streams that end early without an error event when the drain limit of an entry host expires. */
    @Test
    fun `an entry host that reaches its drain limit ends requests in progress with explicit errors`() {
        val nonStreaming = exceedDrainLimit { entryNodes[0] }
        assertEquals("unknown", nonStreaming.outcome(), nonStreaming.body())
    }

    /** Guards against an agent that exits before entry hosts have received the outcome of its requests. */
    @Test
    fun `an agent that reaches its drain limit ends requests in progress with explicit errors`() {
        val nonStreaming = exceedDrainLimit { agentNodes[0] }
        assertTrue("\"reason\":\"interrupted\"" in nonStreaming.body(), nonStreaming.body())
    }

    /** Guards against outcome unknown, which uses up the idempotency key, for waiting requests when an agent's stop is cut short. */
    @Test
    fun `a second SIGTERM of an agent refuses waiting requests and ends running ones with explicit errors`() {
        LocalCluster(engines = 1, entries = 1).use { cluster ->
            cluster.apply(number = 1, replicas = 1, models = listOf("wax", "klister"))
            val lines = cluster.lines(cluster.endlessChat())
            repeat(5) { lines.next() }
            val waiting = cluster.sendAsync(cluster.endlessChat(model = "klister"))
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

    /** Guards against a stop that never ends because the stored lease of the controllers is unreadable. */
    @Test
    fun `an entry host stops even if it cannot read the lease that it should release`() {
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
        const val BROKEN_CONNECTION = "the connection was cut"

        /** Gives an answer of about 7 MB, more than the socket buffers hold. */
        const val LARGE_ANSWER_TOKENS = 150_000

        /** A process that stops too early exits within this time; one that waits as it should is still running after it. */
        const val EARLY_EXIT_WINDOW_S = 3L
    }
}
