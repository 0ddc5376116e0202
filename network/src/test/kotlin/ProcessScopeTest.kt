package org.almondjunction.network

import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Unexpected errors, such as a bug or a hostile peer may cause, must not stop the event loop. */
class ProcessScopeTest {
    private val running = RunningLoop()
    private val loop = running.loop
    private val failures = AtomicInteger()
    private val scope = processScope(loop) { failures.incrementAndGet() }

    @AfterTest
    fun stop(): Unit = running.close()

    @Test
    fun `an error in one coroutine ends only that coroutine`() {
        val otherTask = CountDownLatch(1)
        scope.launch { error("a bug") }
        scope.launch { throw StackOverflowError() }
        scope.launch { otherTask.countDown() }
        otherTask.await()
        assertEquals(2, failures.get())
    }

    @Test
    fun `work started with launchRestarting is restarted after an error`() {
        val started = CountDownLatch(2)
        scope.launchRestarting("work") {
            started.countDown()
            error("a bug")
        }
        started.await()
    }

    @Test
    fun `a JVM error in a task ends only that task`() {
        val otherTask = CountDownLatch(1)
        loop.dispatch(EmptyCoroutineContext) { throw OutOfMemoryError("no heap") }
        loop.dispatch(EmptyCoroutineContext) { otherTask.countDown() }
        assertTrue(otherTask.await(TIMEOUT_S, TimeUnit.SECONDS))
    }

    @Test
    fun `a JVM error in the handler of a connection closes it, and the next connection is served`() {
        var connections = 0
        val listener =
            TcpListener(loop, Address("127.0.0.1", 0)) { connection ->
                if (connections++ == 0) throw StackOverflowError()
                connection.close()
            }
        repeat(2) { assertEquals(END_OF_STREAM, Socket("127.0.0.1", listener.port).use { it.readByte() }) }
        assertEquals(2, connections)
    }

    private fun Socket.readByte(): Int {
        soTimeout = TIMEOUT_S.toInt() * MILLISECONDS_PER_SECOND
        return getInputStream().read()
    }

    @Test
    fun `an exception in the handler of a connection closes it, and the next connection is served`() {
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
        const val TIMEOUT_S = 20L
        const val MILLISECONDS_PER_SECOND = 1_000
        const val END_OF_STREAM = -1
    }
}
