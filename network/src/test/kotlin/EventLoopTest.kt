package org.almondjunction.network

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import java.lang.ref.WeakReference
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EventLoopTest {
    private val running = RunningLoop()
    private val loop = running.loop

    @AfterTest
    fun stop(): Unit = running.close()

    // Guards against a process whose heap is exhausted by request bodies that timers with a long delay refer to after the response.
    @Test
    fun `a timeout that did not pass releases what it refers to`() {
        val pending = loop.schedule(PENDING_TIMER_MS) {}
        val bodies = runBlocking(loop) { List(TIMEOUTS) { finishWithinTimeout() } }
        repeat(MAXIMUM_COLLECTIONS) { if (bodies.any { it.get() != null }) System.gc() }
        assertEquals(0, bodies.count { it.get() != null })
        pending.dispose()
    }

    @Test
    fun `timers of timeouts that did not pass are removed`() {
        loop.schedule(PENDING_TIMER_MS) {}
        val kept =
            runBlocking(loop) {
                repeat(TIMEOUTS) { finishWithinTimeout() }
                loop.timersKept
            }
        assertTrue(kept < MAXIMUM_TIMERS_KEPT, "$kept timers are kept")
    }

    /** Uses a large array within a time limit that does not pass, and returns a weak reference to it. */
    private suspend fun finishWithinTimeout(): WeakReference<ByteArray> {
        val body = ByteArray(BODY_BYTES)
        withTimeoutOrNull(LONG_TIMEOUT_MS) {
            yield()
            body.fill(1)
        }
        return WeakReference(body)
    }

    private companion object {
        const val TIMEOUTS = 1_000
        const val BODY_BYTES = 10_000
        const val LONG_TIMEOUT_MS = 600_000L

        /** Due before the timeouts, which therefore do not come to the head of the queue. */
        const val PENDING_TIMER_MS = 300_000L
        const val MAXIMUM_TIMERS_KEPT = 200
        const val MAXIMUM_COLLECTIONS = 20
    }
}
