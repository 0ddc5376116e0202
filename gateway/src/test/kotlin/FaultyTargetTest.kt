package org.almondjunction.gateway

import kotlinx.coroutines.delay
import org.almondjunction.decisions.RetryLimits
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpReader
import org.almondjunction.network.TcpConnection
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests faulty targets: endless bytes that are no response, stalled streams that send single bytes, and slow but intact streams. */
class FaultyTargetTest {
    private val fixture = GatewayFixture()
    private val gateway get() = fixture.gateway
    private val script = ArrayDeque<suspend (TcpConnection) -> Unit>()
    private var sends = 0

    @AfterTest
    fun stop(): Unit = fixture.close()

    private fun start(
        retryKind: RetrySafety,
        streaming: Boolean,
        maximumTargets: Int = 2,
        callerIdleTimeoutMs: Long = 60_000,
    ) {
        val route = GatewayFixture.route(retryKind, streaming)
        fixture.start(
            route.copy(timeoutMs = 60_000, maximumTargets = maximumTargets, callerIdleTimeoutMs = callerIdleTimeoutMs),
        ) { target(it) }
    }

    private suspend fun target(connection: TcpConnection) {
        if (HttpReader(connection).requestHead(9_999) !is HeadResult.Read) return
        sends++
        script.removeFirst()(connection)
        connection.close()
    }

    private fun ask(): String = fixture.ask("GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nConnection: close\r\n\r\n")

    /** Sends [begin], and then [part] repeatedly until the gateway closes the connection. */
    private fun endless(
        begin: String,
        part: String,
    ): suspend (TcpConnection) -> Unit =
        { connection ->
            connection.write(begin.toByteArray())
            val block = part.repeat(BLOCK_BYTES / part.length + 1).toByteArray()
            while (connection.write(block)) Unit
        }

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private fun events(vararg ids: Int) = ids.joinToString("") { "id: $it\ndata: e$it\n\n" }

    private val streamHead = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    private val end = "0\r\n\r\n"

    @Test
    fun `endless bytes that are no response end the request, and none of them stay buffered`() {
        start(RetrySafety.ONCE, streaming = false)
        val signedHead = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\n"
        mapOf(
            "a status line" to endless("HTTP/1.1 200 ", "x"),
            "no line at all" to endless("", "x"),
            "empty lines" to endless("", "\r\n"),
            "headers" to endless("HTTP/1.1 200 OK\r\n", "A: b\r\n"),
            "one header" to endless("HTTP/1.1 200 OK\r\nA: ", "x"),
            "interim answers" to endless("", "HTTP/1.1 100 Continue\r\n\r\n"),
            "answers to other requests" to endless("", "HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 1\r\n\r\nx"),
            "an answer to another request" to endless("HTTP/1.1 200 OK\r\nId: 6\r\n\r\n", "x"),
            "a body without length" to endless("$signedHead\r\n", "x"),
            "a chunked body" to endless("${signedHead}Transfer-Encoding: chunked\r\n\r\n", chunk("x".repeat(999))),
            "the size of a chunk" to endless("${signedHead}Transfer-Encoding: chunked\r\n\r\n", "0"),
            "an extension of a chunk" to endless("${signedHead}Transfer-Encoding: chunked\r\n\r\n1;", "x"),
            "trailers" to endless("${signedHead}Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"),
        ).forEach { (pattern, response) ->
            script += response
            assertEquals("HTTP/1.1 502", ask().take("HTTP/1.1 502".length), pattern)
            assertEquals(0, gateway.state.buffered.reservedBytes, pattern)
        }
    }

    @Test
    fun `an endless event truncates the stream`() {
        start(RetrySafety.ONCE, streaming = true)
        script += endless(streamHead + chunk(events(1) + "data: "), chunk("x".repeat(999)))
        assertEquals(events(1) + "|cut", unchunk(ask()))
        assertEquals(0, gateway.state.buffered.reservedBytes)
    }

    @Test
    fun `responses that together exceed the memory budget are discarded instead of buffered`() {
        start(RetrySafety.IDEMPOTENT, streaming = false)
        val others = gateway.state.buffered.newReservation()
        val room = (Runtime.getRuntime().maxMemory() / 4).toInt()
        assertTrue(others.grow(room - 10))
        val answer = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\nContent-Length: 20\r\n\r\n" + "x".repeat(20)
        repeat(GatewayFixture.TARGETS) { script += { connection -> connection.write(answer.toByteArray()) } }
        assertEquals("HTTP/1.1 502", ask().take("HTTP/1.1 502".length))
        others.close()
        script += { connection -> connection.write(answer.toByteArray()) }
        assertEquals("HTTP/1.1 200", ask().take("HTTP/1.1 200".length))
    }

    /** A stream that sends one event, and then single bytes of the next one. */
    private val stalled: suspend (TcpConnection) -> Unit = { connection ->
        connection.write((streamHead + chunk(events(1))).toByteArray())
        while (connection.write(chunk("x").toByteArray())) delay(BYTE_INTERVAL_MS)
    }

    /** A stream with a longer pause between events than a healthy target usually has. */
    private val slow: suspend (TcpConnection) -> Unit = { connection ->
        connection.write((streamHead + chunk(events(1))).toByteArray())
        delay(LONG_PAUSE_MS)
        connection.write((chunk(events(2)) + end).toByteArray())
    }

    @Test
    fun `a stalled stream that sends single bytes ends at the caller's idle timeout`() {
        start(RetrySafety.ONCE, streaming = true, callerIdleTimeoutMs = 300)
        script += stalled
        assertEquals(events(1) + "|cut", unchunk(ask()))
    }

    @Test
    fun `a stalled stream that sends single bytes is resumed at another target if that is allowed`() {
        start(RetrySafety.RESUMABLE, streaming = true)
        script += stalled
        script += { connection -> connection.write((streamHead + chunk(events(2)) + end).toByteArray()) }
        assertEquals(events(1, 2) + "|end", unchunk(ask()))
    }

    @Test
    fun `a slow but intact stream that may run only once is complete`() {
        start(RetrySafety.ONCE, streaming = true)
        script += slow
        assertEquals(events(1, 2) + "|end", unchunk(ask()))
    }

    @Test
    fun `a slow but intact stream that no other target may continue is complete`() {
        start(RetrySafety.RESUMABLE, streaming = true, maximumTargets = 1)
        script += slow
        assertEquals(events(1, 2) + "|end", unchunk(ask()))
        assertEquals(1, sends)
    }

    // Guards against a sound stream that is cut because the retry for which it was given up is no longer allowed.
    @Test
    fun `a slow but intact stream is complete when the retry budget is spent during its pause`() {
        start(RetrySafety.RESUMABLE, streaming = true)
        script += { connection ->
            connection.write((streamHead + chunk(events(1))).toByteArray())
            delay(LONG_PAUSE_MS / 2)
            gateway.applySettings(fixture.settings.copy(retryLimits = RetryLimits(ratio = 0.0, extra = 0.0)))
            delay(LONG_PAUSE_MS)
            connection.write((chunk(events(2)) + end).toByteArray())
        }
        assertEquals(events(1, 2) + "|end", unchunk(ask()))
        assertEquals(1, sends)
    }

    private companion object {
        const val BLOCK_BYTES = 16_384
        const val BYTE_INTERVAL_MS = 20L
        const val LONG_PAUSE_MS = 1_300L
    }
}
