package org.almondjunction.network

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import java.io.IOException
import java.net.Socket
import java.nio.channels.ServerSocketChannel
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** File descriptors are exhausted while clients wait to be accepted. */
class TcpListenerTest {
    private val running = RunningLoop()
    private val loop = running.loop
    private val scope = processScope(loop)

    @AfterTest
    fun stop(): Unit = running.close()

    @Test
    fun `a client that cannot be accepted does not keep the loop busy and is served once descriptors are free`() {
        var failures = 0
        var descriptorsFree = false

        fun accept(channel: ServerSocketChannel) =
            if (descriptorsFree) {
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
        val shortageOver = CountDownLatch(1)
        Socket("127.0.0.1", listener.port).use { socket ->
            scope.launch {
                delay(SHORTAGE_MS)
                descriptorsFree = true
                shortageOver.countDown()
            }
            assertTrue(shortageOver.await(TIMEOUT_S, TimeUnit.SECONDS))
            assertEquals("ok", socket.getInputStream().readAllBytes().decodeToString())
        }
        assertTrue(failures in 1..MAXIMUM_ATTEMPTS, "$failures attempts in $SHORTAGE_MS ms")
    }

    // Guards against clients that keep the loop from established connections by connecting without end.
    @Test
    fun `pending clients are accepted over several turns of the loop`() {
        val turns = ConcurrentLinkedQueue<Long>()
        val allAccepted = CountDownLatch(PENDING_CLIENTS)
        val loopBlocked = CountDownLatch(1)
        scope.launch { loopBlocked.await() }
        val listener =
            TcpListener(loop, Address("127.0.0.1", 0)) {
                turns += loop.turn
                allAccepted.countDown()
            }
        val clients = List(PENDING_CLIENTS) { Socket("127.0.0.1", listener.port) }
        loopBlocked.countDown()
        assertTrue(allAccepted.await(TIMEOUT_S, TimeUnit.SECONDS))
        clients.forEach { it.close() }
        val mostInTurn =
            turns
                .groupingBy { it }
                .eachCount()
                .values
                .max()
        assertTrue(mostInTurn < PENDING_CLIENTS, "$mostInTurn of $PENDING_CLIENTS clients were accepted in one turn")
    }

    private companion object {
        const val PENDING_CLIENTS = 200
        const val SHORTAGE_MS = 500L
        const val TIMEOUT_S = 20L

        /** Above the number of retries with pauses; a busy loop makes thousands of attempts. */
        const val MAXIMUM_ATTEMPTS = 50
    }
}
