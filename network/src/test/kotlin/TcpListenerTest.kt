package org.almondjunction.network

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import java.io.IOException
import java.net.Socket
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A process whose descriptors are used up while callers wait. */
class TcpListenerTest {
    private val loop = EventLoop()
    private val scope = processScope(loop)
    private val loopThread = thread { loop.run() }

    @AfterTest
    fun stop() {
        loop.stop()
        loopThread.join()
    }

    @Test
    fun `a caller that cannot be accepted does not keep the loop busy, and is served once descriptors are free`() {
        var failures = 0
        var free = false

        fun accept(channel: ServerSocketChannel) =
            if (free) {
                channel.accept()
            } else {
                failures++
                throw IOException("Too many open files")
            }
        val listener =
            TcpListener(loop, Address("127.0.0.1", 0), ::accept) { connection ->
                scope.launch {
                    connection.write("ok".toByteArray())
                    connection.close()
                }
            }
        val waited = CountDownLatch(1)
        Socket("127.0.0.1", listener.port).use { socket ->
            scope.launch {
                delay(SHORTAGE_MS)
                free = true
                waited.countDown()
            }
            assertTrue(waited.await(LONGEST_WAIT_S, TimeUnit.SECONDS))
            assertEquals("ok", socket.getInputStream().readAllBytes().decodeToString())
        }
        assertTrue(failures in 1..MOST_TRIES, "$failures tries in $SHORTAGE_MS ms")
    }

    private companion object {
        const val SHORTAGE_MS = 500L
        const val LONGEST_WAIT_S = 20L

        /** Some for each pause; a loop that only tries makes thousands. */
        const val MOST_TRIES = 50
    }
}
