package org.almondjunction.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.Address
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.common.ZoneId
import org.almondjunction.decisions.RetrySafety
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests targets that answer a long upload before they have read it, without a length, and end the connection inside the answer. */
class EarlyAnswerTest {
    /** Uploads [UPLOAD_BYTES] to a target that answers with [part], does not read the upload and then calls [end]; returns the answer. */
    private fun upload(
        streaming: Boolean,
        part: String,
        end: (Socket) -> Unit,
    ): String =
        GatewayFixture().use { fixture ->
            ServerSocket().use { listener ->
                // With a small buffer at the target, the upload is not written completely before the target reads it.
                listener.receiveBufferSize = RECEIVE_BUFFER_BYTES
                listener.bind(InetSocketAddress(GatewayFixture.LOOPBACK, 0))
                fixture.start(GatewayFixture.route(RetrySafety.ONCE, streaming), hosts = emptyList()) {}
                addTarget(fixture, listener.localPort)
                val target = thread { listener.accept().use { answer(it, part, end) } }
                val length = "Content-Length: $UPLOAD_BYTES"
                val answer =
                    fixture.ask("POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\n$length\r\nConnection: close\r\n\r\n" + "x".repeat(UPLOAD_BYTES))
                target.join()
                answer
            }
        }

    private fun addTarget(
        fixture: GatewayFixture,
        port: Int,
    ) {
        val address = Address(GatewayFixture.LOOPBACK, port)
        val entry = TargetEntry(TargetId("t"), ServiceId("s"), address, ZoneId("z"), true, 4, 1, 1, emptyMap())
        runBlocking { fixture.scope.async { fixture.gateway.directory.put(entry) }.await() }
    }

    private fun answer(
        socket: Socket,
        part: String,
        end: (Socket) -> Unit,
    ) {
        // The first bytes of the request have arrived.
        socket.getInputStream().read()
        socket.getOutputStream().write("HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\n\r\n$part".toByteArray())
        Thread.sleep(DELIVERY_MS)
        end(socket)
        Thread.sleep(DELIVERY_MS)
    }

    private fun assertIncomplete(
        pattern: String,
        end: (Socket) -> Unit,
    ) {
        assertEquals("HTTP/1.1 502", upload(streaming = false, "part", end).take("HTTP/1.1 502".length), "plain, $pattern")
        assertEquals("$EVENT|cut", unchunk(upload(streaming = true, EVENT, end)), "stream, $pattern")
    }

    // Guards against a part of an answer that looks complete to the caller.
    @Test
    fun `an answer without length is broken if its connection is reset during the upload`(): Unit =
        assertIncomplete("reset") { socket ->
            socket.setSoLinger(true, 0)
            socket.close()
        }

    // Guards against a target that gives up inside its answer and closes its side, which looks like the end of the answer.
    @Test
    fun `an answer without length is broken if its connection ends cleanly before the upload is written`(): Unit =
        assertIncomplete("clean end") { it.shutdownOutput() }

    private companion object {
        /** More than the socket buffers of both sides hold. */
        const val UPLOAD_BYTES = 4_000_000
        const val RECEIVE_BUFFER_BYTES = 4_096
        const val DELIVERY_MS = 300L
        const val EVENT = "id: 1\ndata: e1\n\n"
    }
}
