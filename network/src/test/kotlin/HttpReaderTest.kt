package org.almondjunction.network

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals

class HttpReaderTest {
    /** Sends [text] over loopback, closes the sending side, and returns the result of [reading]. */
    private fun read(
        text: String,
        reading: suspend (HttpReader) -> String,
    ): String {
        val loop = EventLoop()
        val scope = CoroutineScope(SupervisorJob() + loop)
        val result = CompletableDeferred<String>()
        val listener =
            TcpListener(loop, Address("127.0.0.1", 0)) { connection ->
                scope.launch {
                    result.complete(reading(HttpReader(connection)))
                    connection.close()
                    loop.stop()
                }
            }
        val sender =
            Thread {
                Socket("127.0.0.1", listener.port).use { socket ->
                    socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
                    socket.shutdownOutput()
                    socket.getInputStream().read()
                }
            }
        sender.start()
        loop.run()
        sender.join()
        listener.close()
        return result.getCompleted()
    }

    private suspend fun describe(reader: HttpReader): String =
        when (val result = reader.requestHead(MAXIMUM_BYTES)) {
            is HeadResult.Read -> {
                when (val framing = HttpHeadParser.framingOf(result.head)) {
                    null -> "contradictory"
                    else ->
                        when (val body = reader.body(framing).readAll(MAXIMUM_BYTES.toLong())) {
                            is BodyResult.Read -> "${result.head.method} ${result.head.target} [${body.bytes.decodeToString()}]"
                            BodyResult.TooLarge -> "body too large"
                            BodyResult.BudgetExceeded -> "budget exceeded"
                            is BodyResult.Broken -> "body broken"
                        }
                }
            }
            HeadResult.End -> "end"
            HeadResult.Broken -> "broken"
            is HeadResult.Malformed -> "malformed"
            HeadResult.TooLarge -> "too large"
        }

    private val cases =
        listOf(
            "GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n" to "GET /a?b []",
            "\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n" to "GET /a []",
            "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcX" to "POST /a [abc]",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n" to "POST /a [abcde]",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nTrailer: 1\r\n\r\n" to "POST /a [abc]",
            "POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nabc" to "body broken",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n" to "body broken",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n" to "body broken",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nabc" to "contradictory",
            "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n" to "contradictory",
            "POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd" to "contradictory",
            "POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc" to "contradictory",
            "GET /a HTTP/1.1\nHost: h\n\n" to "malformed",
            "GET /a HTTP/1.1\r\nHost : h\r\n\r\n" to "malformed",
            "GET /a HTTP/1.1\r\nHost: h\r\n folded: x\r\n\r\n" to "malformed",
            "GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n" to "malformed",
            "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n" to "malformed",
            "GET /a HTTP/2.0\r\nHost: h\r\n\r\n" to "malformed",
            "GET /a HTTP/1.1\r\nHo" to "broken",
            "" to "end",
            "GET /${"a".repeat(MAXIMUM_BYTES)} HTTP/1.1\r\n\r\n" to "too large",
            "POST /a HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" + "a".repeat(9_000) to "body too large",
        )

    @Test
    fun `valid requests are read, and malformed, ambiguous or truncated ones are detected`() =
        cases.forEach { (text, expected) ->
            assertEquals(expected, read(text, ::describe), text.take(120))
        }

    private suspend fun describeAnswer(reader: HttpReader): String =
        when (val result = reader.responseHead(MAXIMUM_BYTES)) {
            is HeadResult.Read -> "status ${result.head.status}"
            is HeadResult.Malformed -> "malformed"
            else -> "unreadable"
        }

    // Guards against an answer with a status that does not exist, such as 000, which would be relayed to a caller.
    @Test
    fun `an answer is malformed unless its status is from 100 to 599`() {
        listOf("100", "200", "503", "599").forEach { assertEquals("status $it", read("HTTP/1.1 $it X\r\n\r\n", ::describeAnswer), it) }
        listOf("000", "099", "600", "999", "-99", "+99", "2OO", "20", "2000").forEach {
            assertEquals("malformed", read("HTTP/1.1 $it X\r\n\r\n", ::describeAnswer), it)
        }
    }

    private companion object {
        const val MAXIMUM_BYTES = 8_192
    }
}
