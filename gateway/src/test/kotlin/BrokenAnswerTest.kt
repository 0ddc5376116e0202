package org.almondjunction.gateway

import org.almondjunction.decisions.RetrySafety
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpReader
import org.almondjunction.network.TcpConnection
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests answers that break off: in their head, and in a stream whose rest another target answers with an error. */
class BrokenAnswerTest {
    private class Case(
        val pattern: String,
        val answers: List<String>,
        val expected: String,
        val reset: Boolean = false,
    )

    private val fixture = GatewayFixture()
    private val script = ArrayDeque<String>()

    @AfterTest
    fun stop(): Unit = fixture.close()

    private suspend fun target(connection: TcpConnection) {
        if (HttpReader(connection).requestHead(9_999) !is HeadResult.Read) return
        connection.write(script.removeFirst().toByteArray())
        connection.close()
    }

    private fun ask(): String = fixture.ask("GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nConnection: close\r\n\r\n")

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private fun events(vararg ids: Int) = ids.joinToString("") { "id: $it\ndata: e$it\n\n" }

    private val signed = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\n"
    private val chunked = "${signed}Transfer-Encoding: chunked\r\n\r\n"
    private val begun = chunked + chunk(events(1))

    private fun error(
        status: String,
        headers: String = "",
    ) = "HTTP/1.1 $status\r\nId: 7\r\n${headers}Content-Length: 5\r\n\r\nerror"

    // Guards against the text of an error inside a stream, and against a truncated stream that looks complete.
    @Test
    fun `a stream whose rest is answered with an error is truncated without the error`() {
        fixture.start(GatewayFixture.route(RetrySafety.RESUMABLE, streaming = true)) { target(it) }
        listOf(
            Case("a failure", listOf(begun, error("500 Failed", "Signature: t\r\n")), events(1) + "|cut"),
            Case("a failure without signature", listOf(begun, error("502 Failed")), events(1) + "|cut"),
            Case("a success without signature", listOf(begun, error("200 OK")), events(1) + "|cut"),
            Case("a refusal of the request", listOf(begun, error("400 Bad", "Signature: t\r\n")), events(1) + "|cut"),
            Case("refusals because it is full", listOf(begun) + List(5) { error("503 Full", "Not-Run: 1\r\n") }, events(1) + "|cut"),
            Case("half a head", listOf(begun, "HTTP/1.1 500 Failed\r\nId: 7\r\nConte"), events(1) + "|cut"),
            Case("no answer", listOf(begun, ""), events(1) + "|cut"),
        ).forEach { check(it) }
    }

    private fun check(case: Case) {
        script.clear()
        script += case.answers
        assertEquals(case.expected, unchunk(ask()), case.pattern)
    }

    // Guards against a success with an empty or short body for an answer whose head never ended.
    @Test
    fun `an answer that breaks off in its head is no answer`() {
        val heads =
            listOf("", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\n", "$signed", "${signed}Content-Length: 5", "${signed}Content-Length: 5\r\n")
        for (streaming in listOf(false, true)) {
            GatewayFixture().use { own ->
                own.start(GatewayFixture.route(RetrySafety.ONCE, streaming)) { target(it) }
                for (head in heads) {
                    script.clear()
                    script += head
                    val answer = own.ask("GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nConnection: close\r\n\r\n")
                    assertEquals("HTTP/1.1 502", answer.take("HTTP/1.1 502".length), "streaming $streaming: $head")
                }
            }
        }
    }

    // Guards against an answer with a status that does not exist, which callers cannot understand.
    @Test
    fun `an answer with a status outside 100 to 599 is no answer`() {
        for (streaming in listOf(false, true)) {
            GatewayFixture().use { own ->
                own.start(GatewayFixture.route(RetrySafety.ONCE, streaming)) { target(it) }
                for (status in listOf("000", "099", "600", "999")) {
                    script.clear()
                    script += error("$status Odd", "Signature: t\r\n")
                    val answer = own.ask("GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nConnection: close\r\n\r\n")
                    assertEquals("HTTP/1.1 502", answer.take("HTTP/1.1 502".length), "streaming $streaming: $status")
                }
            }
        }
    }

    // Guards against a stream that its target broke off and whose end looks like that of an answer without length.
    @Test
    fun `a stream without length ends only between events and not before the first`() {
        fixture.start(GatewayFixture.route(RetrySafety.ONCE, streaming = true)) { target(it) }
        val withoutLength = "$signed\r\n"
        listOf(
            Case("after two events", listOf(withoutLength + events(1, 2)), events(1, 2) + "|end"),
            Case("inside an event", listOf(withoutLength + events(1) + "id: 2\nda"), events(1) + "|cut"),
        ).forEach { check(it) }
        script += withoutLength
        assertEquals("HTTP/1.1 502", ask().take("HTTP/1.1 502".length), "before the first event")
    }

    // Guards against a caller that gets bytes which are no events until it leaves, though another target could answer.
    @Test
    fun `a stream of bytes without events is continued at another target`() {
        fixture.start(GatewayFixture.route(RetrySafety.RESUMABLE, streaming = true)) { target(it) }
        val noEvents = "<html><body>core dumped</body></html>\r\n\r\n".repeat(20_000)

        fun rest(vararg ids: Int) = chunked + chunk(events(*ids)) + LAST_CHUNK
        listOf(
            Case("instead of events", listOf("$signed\r\n$noEvents", rest(1, 2)), events(1, 2) + "|end"),
            Case("after an event", listOf("$signed\r\n${events(1)}$noEvents", rest(2)), events(1, 2) + "|end"),
        ).forEach { check(it) }
    }

    // Guards against comments after the last event that are missing in a stream that looks complete.
    @Test
    fun `comments are passed on with the event that follows or at the end`() {
        fixture.start(GatewayFixture.route(RetrySafety.RESUMABLE, streaming = true)) { target(it) }
        val body = ": first\n\n" + events(1) + ": between\n" + events(2) + ": last\n\n"
        check(Case("comments", listOf(chunked + chunk(body) + LAST_CHUNK), "$body|end"))
    }

    // Guards against an earlier refusal, written once more on a kept connection, that is told to the caller of a later request.
    @Test
    fun `a refusal that is written once more is not the answer to the next request`() {
        val refusal = "HTTP/1.1 503 Full\r\nId: 6\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        val anonymous = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        val answer = "${signed}Content-Length: 1\r\n\r\nx"
        fixture.start(GatewayFixture.route(RetrySafety.ONCE, streaming = false), hosts = listOf(GatewayFixture.LOOPBACK)) { connection ->
            val reader = HttpReader(connection)
            while (reader.requestHead(9_999) is HeadResult.Read) connection.write(script.removeFirst().toByteArray())
        }
        for (repeated in listOf(refusal, anonymous)) {
            script.clear()
            // The first request uses all its sends on refusals; the last connection is kept.
            repeat(REFUSED_SENDS) { script += refusal }
            fixture.ask("GET /x HTTP/1.1\r\nHost: h\r\nId: 6\r\nConnection: close\r\n\r\n")
            script.clear()
            repeat(REFUSED_SENDS) { script += repeated + answer }
            val status = ask().substring("HTTP/1.1 ".length).take(3)
            assertEquals(true, status in listOf("200", "502"), "answered $status")
        }
    }

    private companion object {
        const val REFUSED_SENDS = 8
        const val LAST_CHUNK = "0\r\n\r\n"
    }
}
