package org.almondjunction.gateway

import org.almondjunction.decisions.RetrySafety
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpReader
import org.almondjunction.network.TcpConnection
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests callers that do not read the stream that they asked for. */
class SlowCallerTest {
    private val fixture = GatewayFixture()
    private val written = AtomicLong()

    @AfterTest
    fun stop(): Unit = fixture.close()

    private val head = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private suspend fun target(connection: TcpConnection) {
        val request = HttpReader(connection).requestHead(9_999) as? HeadResult.Read ?: return
        connection.write(head.toByteArray())
        val event = "id: 1\ndata: ${"x".repeat(EVENT_BYTES)}\n\n"
        if (request.head.target == "/endless") {
            val block = chunk(event).toByteArray()
            while (connection.write(block)) written.addAndGet(block.size.toLong())
        } else {
            connection.write((chunk(event) + "0\r\n\r\n").toByteArray())
        }
        connection.close()
    }

    private fun request(path: String) = "GET $path HTTP/1.1\r\nHost: h\r\nId: 7\r\nConnection: close\r\n\r\n"

    /** Returns the bytes that the target has written once it has written no more for [PAUSED_MS]. */
    private fun awaitPause(): Long {
        while (true) {
            val before = written.get()
            Thread.sleep(PAUSED_MS)
            if (before > 0 && written.get() == before) return before
            check(before < BOUND_BYTES) { "the target has written $before bytes" }
        }
    }

    // Guards against memory that grows with what a caller does not read, and against other callers who wait for it.
    @Test
    fun `a stream that its caller does not read is paused while other callers are served`() {
        fixture.start(GatewayFixture.route(RetrySafety.ONCE, streaming = true)) { target(it) }
        fixture.connect().use { slow ->
            slow.getOutputStream().write(request("/endless").toByteArray())
            val heldBytes = awaitPause()
            assertTrue(heldBytes < BOUND_BYTES, "$heldBytes bytes")
            assertTrue(
                fixture.gateway.state.buffered.reservedBytes < RESERVED_BYTES,
                "${fixture.gateway.state.buffered.reservedBytes} bytes",
            )
            repeat(OTHER_CALLERS) { assertEquals("HTTP/1.1 200", fixture.ask(request("/short")).take("HTTP/1.1 200".length)) }
            assertEquals(heldBytes, written.get(), "the stream goes on")
        }
    }

    private companion object {
        const val EVENT_BYTES = 10_000
        const val PAUSED_MS = 500L
        const val OTHER_CALLERS = 20

        /** The send and receive buffers of the system for both connections hold less. */
        const val BOUND_BYTES = 32L * 1024 * 1024

        /** A few events. */
        const val RESERVED_BYTES = 100_000L
    }
}
