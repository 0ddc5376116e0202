package org.almondjunction.network

import kotlinx.coroutines.launch
import kotlinx.coroutines.yield
import org.almondjunction.common.Address
import java.io.IOException
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals

class ConnectionFairnessTest {
    private class Case(
        val name: String,
        val sent: ByteArray,
        val read: suspend (TcpConnection) -> Unit,
    )

    private val cases =
        listOf(
            Case("tasks between the reads", ByteArray(BLOCK_BYTES)) { connection ->
                repeat(READS) {
                    connection.fill()
                    connection.input.skip(connection.input.size)
                    repeat(TASKS_BETWEEN_READS) { yield() }
                }
            },
            Case("a body in small chunks", "1\r\nx\r\n".repeat(BLOCK_BYTES / CHUNK_BYTES).toByteArray()) { connection ->
                HttpReader(connection).body(BodyFraming.Chunked).readAll(MAXIMUM_BODY_BYTES)
            },
        )

    // Guards against a peer that sends without end and keeps the loop from all other connections.
    @Test
    fun `a peer that sends faster than it is read does not keep the loop from other connections`() {
        cases.forEach { assertEquals("another connection was served", firstEvent(it), it.name) }
    }

    /** Returns whether another connection is served before the reader of an endless input has read all that it wants. */
    private fun firstEvent(case: Case): String {
        val loop = EventLoop()
        val scope = processScope(loop)
        val events = mutableListOf<String>()
        var endless: TcpConnection? = null
        val listener =
            TcpListener(loop, Address(LOOPBACK, 0)) { connection ->
                scope.launch {
                    if (endless == null) {
                        endless = connection
                        case.read(connection)
                        events += "the reader ended"
                    } else {
                        connection.fill()
                        events += "another connection was served"
                    }
                    loop.stop()
                }
            }
        val sender = thread { sendWithoutEnd(listener.port, case.sent) }
        loop.run()
        endless?.abort()
        listener.close()
        sender.join()
        return events.first()
    }

    /** Sends [block] again and again until the connection is reset; a second connection sends one byte as soon as the first is read. */
    private fun sendWithoutEnd(
        port: Int,
        block: ByteArray,
    ) {
        Socket(LOOPBACK, port).use { first ->
            repeat(BLOCKS_BEFORE_SECOND) { first.getOutputStream().write(block) }
            Socket(LOOPBACK, port).use { second ->
                second.getOutputStream().write(1)
                try {
                    while (true) first.getOutputStream().write(block)
                } catch (_: IOException) {
                    // The reader has ended.
                }
            }
        }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"

        /** More than the socket buffers of both sides hold, so that the reader is at work when the second connection opens. */
        const val BLOCKS_BEFORE_SECOND = 160
        const val BLOCK_BYTES = 64 * 1024
        const val CHUNK_BYTES = 6
        const val READS = 20_000
        const val TASKS_BETWEEN_READS = 20
        const val MAXIMUM_BODY_BYTES = 8L * 1024 * 1024
    }
}
