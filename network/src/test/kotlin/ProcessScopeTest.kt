package org.almondjunction.network

import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Unexpected errors, as a bug or a hostile peer may bring them about. */
class ProcessScopeTest {
    private val loop = EventLoop()
    private val failures = AtomicInteger()
    private val scope = processScope(loop) { failures.incrementAndGet() }
    private val loopThread = thread { loop.run() }

    @AfterTest
    fun stop() {
        loop.stop()
        loopThread.join()
    }

    @Test
    fun `an error in one coroutine ends that one alone`() {
        val others = CountDownLatch(1)
        scope.launch { error("a bug") }
        scope.launch { throw StackOverflowError() }
        scope.launch { others.countDown() }
        others.await()
        assertEquals(2, failures.get())
    }

    @Test
    fun `work that never ends begins again after an error`() {
        val begun = CountDownLatch(2)
        scope.launchAlways("work") {
            begun.countDown()
            error("a bug")
        }
        begun.await()
    }

    @Test
    fun `an error of the Java machine in a task ends that task alone`() {
        val others = CountDownLatch(1)
        loop.dispatch(EmptyCoroutineContext) { throw OutOfMemoryError("no heap") }
        loop.dispatch(EmptyCoroutineContext) { others.countDown() }
        assertTrue(others.await(LONGEST_WAIT_S, TimeUnit.SECONDS))
    }

    @Test
    fun `an error of the Java machine about one connection closes it, and the next one is served`() {
        var connections = 0
        val listener =
            TcpListener(loop, Address("127.0.0.1", 0)) { connection ->
                if (connections++ == 0) throw StackOverflowError()
                connection.close()
            }
        repeat(2) { assertEquals(END, Socket("127.0.0.1", listener.port).use { it.readByte() }) }
        assertEquals(2, connections)
    }

    private fun Socket.readByte(): Int {
        soTimeout = LONGEST_WAIT_S.toInt() * MILLISECONDS_PER_SECOND
        return getInputStream().read()
    }

    @Test
    fun `an error about one connection closes it, and the next one is served`() {
        var connections = 0
        val listener =
            TcpListener(loop, Address("127.0.0.1", 0)) { connection ->
                if (connections++ == 0) error("a bug")
                scope.launch {
                    connection.write("ok".toByteArray())
                    connection.close()
                }
            }

        fun read() = Socket("127.0.0.1", listener.port).use { it.getInputStream().readAllBytes().decodeToString() }
        assertEquals(listOf("", "ok"), List(2) { read() })
    }

    private companion object {
        const val LONGEST_WAIT_S = 20L
        const val MILLISECONDS_PER_SECOND = 1_000
        const val END = -1
    }
}
