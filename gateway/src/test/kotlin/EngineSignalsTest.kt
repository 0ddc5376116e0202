package org.almondjunction.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.Metrics
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.decisions.SendResult
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpHeader
import org.almondjunction.network.HttpHeaders
import org.almondjunction.network.HttpReader
import org.almondjunction.network.RequestHead
import org.almondjunction.network.ResponseHead
import org.almondjunction.network.TcpConnection
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Tests a gateway with targets on loopback that are leaving, or ask for a time without requests. */
class EngineSignalsTest {
    private val fixture = GatewayFixture()
    private val seen = mutableListOf<RequestHead>()

    /** Returns the answer to a request, without its identity; by default a success. */
    private var answer: (RequestHead) -> String = { served }
    private val served = "200 OK\r\nSignature: s\r\n"

    @AfterTest
    fun stop(): Unit = fixture.close()

    private fun start(
        retryKind: RetrySafety = RetrySafety.ONCE,
        streaming: Boolean = false,
        targets: Int = 2,
    ): Unit = fixture.start(GatewayFixture.route(retryKind, streaming), hosts = List(targets) { GatewayFixture.LOOPBACK }) { target(it) }

    private suspend fun target(connection: TcpConnection) {
        val reader = HttpReader(connection)
        while (true) {
            val head = (reader.requestHead(9_999) as? HeadResult.Read)?.head ?: return
            seen += head
            connection.write("HTTP/1.1 ${answer(head)}Id: ${head.headers["Id"]}\r\nContent-Length: 0\r\n\r\n".toByteArray())
        }
    }

    private fun ask(
        id: Int,
        deadlineMs: Long = 15_000,
    ): String = fixture.ask("GET /x HTTP/1.1\r\nHost: h\r\nId: $id\r\nDeadline: $deadlineMs\r\nConnection: close\r\n\r\n")

    private fun statusOf(answer: String) = answer.substringAfter(' ').take(3)

    private fun <T> onLoop(block: suspend () -> T): T = runBlocking { fixture.scope.async { block() }.await() }

    private fun targetsSeen() = onLoop { seen.map { "${it.headers["Target"]}" } }

    @Test
    fun `a target that said that it is leaving gets no further request, and its word is not relayed`() {
        val leaving = mutableSetOf<String>()
        answer = { head ->
            if (leaving.isEmpty()) leaving += "${head.headers["Target"]}"
            served + if (head.headers["Target"] in leaving) "Server-Leaving: 1\r\nKept: 1\r\n" else ""
        }
        start()
        val first = ask(0)
        assertEquals("200", statusOf(first))
        assertFalse("Server-Leaving" in first, first)
        assertTrue("Kept" in first, first)
        repeat(20) { assertEquals("200", statusOf(ask(1 + it))) }
        val targets = targetsSeen()
        assertEquals(listOf(leaving.single()), targets.take(1))
        assertFalse(leaving.single() in targets.drop(1), "$targets")
    }

    @Test
    fun `a stream does not relay the word of its target`() {
        answer = { served + "Server-Leaving: 1\r\n" }
        start(RetrySafety.RESUMABLE, streaming = true)
        assertFalse("Server-Leaving" in ask(0))
    }

    // Guards against a target that is offered again because the store lists it once more.
    @Test
    fun `a leaving target that is listed again gets no request, and its next incarnation does`() {
        answer = { served + "Server-Leaving: 1\r\n" }
        start(targets = 1)
        assertEquals("200", statusOf(ask(0)))
        val entry = fixture.entries.single()
        onLoop {
            fixture.gateway.directory.remove(entry.target)
            fixture.gateway.directory.put(entry.copy(sequence = 9))
        }
        assertEquals("503", statusOf(ask(1)))
        onLoop { fixture.gateway.directory.put(entry.copy(startedMs = 2)) }
        assertEquals("200", statusOf(ask(2)))
        assertEquals(2, targetsSeen().size)
    }

    @Test
    fun `a target that asked for a time without requests gets none for that time, and the other serves`() {
        val asked = mutableSetOf<String>()
        answer = { head ->
            if (asked.isEmpty()) asked += "${head.headers["Target"]}"
            if (head.headers["Target"] in asked) "503 X\r\nNot-Run: 1\r\nRetry-After: 30\r\n" else served
        }
        start()
        repeat(20) { assertEquals("200", statusOf(ask(it))) }
        assertEquals(1, targetsSeen().count { it == asked.single() })
    }

    @Test
    fun `a request waits when all targets asked for a time that leaves enough for it`() {
        val askedMs = mutableListOf<Long>()
        answer = {
            askedMs += fixture.loop.clock.nowMs()
            if (askedMs.size == 1) "503 X\r\nNot-Run: 1\r\nRetry-After: 0.7\r\n" else served
        }
        start(targets = 1)
        assertEquals("200", statusOf(ask(0)))
        assertEquals(2, askedMs.size)
        assertTrue(askedMs[1] - askedMs[0] >= 700, "$askedMs")
    }

    @Test
    fun `a request is refused at once with a true time when all targets asked for more time than it has`() {
        answer = { "503 X\r\nNot-Run: 1\r\nRetry-After: 20\r\n" }
        start(targets = 2)
        val beganMs = fixture.loop.clock.nowMs()
        val refusal = ask(0, deadlineMs = 5_000)
        assertTrue(fixture.loop.clock.nowMs() - beganMs < 2_000)
        assertEquals("503", statusOf(refusal))
        val toldSeconds = refusal.substringAfter("Retry-After: ").substringBefore("\r\n").toDouble()
        assertTrue(toldSeconds in 18.0..25.1, refusal)
        assertEquals(2, targetsSeen().toSet().size)
        assertEquals("503", statusOf(ask(1, deadlineMs = 5_000)))
        assertEquals(2, targetsSeen().size)
    }

    @Test
    fun `a failure of a target reaches its caller without the time that the target asked for`() {
        start()
        mapOf("500" to "500", "503" to "502").forEach { (status, expectedStatus) ->
            answer = { "$status X\r\nRetry-After: 3\r\n" }
            val failure = ask(status.toInt())
            assertEquals(expectedStatus, statusOf(failure), status)
            assertFalse("Retry-After" in failure, failure)
        }
    }

    // Guards against a target that is avoided because another one at its address has answered.
    @Test
    fun `the word of another target at the address does not count for this one`() {
        answer = { if (seen.size == 1) "421 X\r\nAnswering: t9\r\nServer-Leaving: 1\r\n" else served }
        start(targets = 1)
        assertEquals("200", statusOf(ask(0)))
        assertEquals(2, targetsSeen().size)
    }

    // Guards against a request that was on its way to a target when the target asked for none.
    @Test
    fun `a request whose connection is established after the word of its target is not sent`() {
        start(targets = 1)
        val result =
            onLoop {
                val state = fixture.gateway.state
                val reader = SignalReader(fixture.loop.clock, state, GatewayFixture.NAMES, Metrics())
                val target = Target(fixture.loop, fixture.entries.single(), promptCacheTokens = 1)
                reader.read(target, ResponseHead(200, HttpHeaders(listOf(HttpHeader("Server-Leaving", "1")))))
                val head = RequestHead("GET", "/x", HttpHeaders(listOf(HttpHeader("Id", "1"))))
                val route = GatewayFixture.route(RetrySafety.ONCE, streaming = false)
                val request = ForwardedRequest.of(head, ByteArray(0), route, fixture.loop.clock.nowMs(), GatewayFixture.NAMES)
                Exchange(fixture.scope, target, GatewayFixture.NAMES, reader).use { it.send(request, head.headers.lines, 0, 1_000) }
            }
        assertEquals(SendResult.NotSent, (result as? ExchangeResult.Unusable)?.result)
        assertEquals(0, targetsSeen().size)
    }

    @Test
    fun `a faulty time has no effect`() {
        val faulty = listOf("-1", "soon", "NaN")
        var answers = 0
        answer = { if (answers++ < faulty.size) "503 X\r\nNot-Run: 1\r\nRetry-After: ${faulty[answers - 1]}\r\n" else served }
        start()
        assertEquals("200", statusOf(ask(0)))
        assertEquals(faulty.size + 1, targetsSeen().size)
    }
}
