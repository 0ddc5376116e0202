package org.almondjunction.network

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import org.almondjunction.common.Clock
import org.almondjunction.common.SystemClock
import java.nio.channels.CancelledKeyException
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.util.PriorityQueue
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.coroutines.CoroutineContext

/**
 * Single-threaded event loop that waits for sockets and timers and runs every coroutine of a process.
 *
 * Coroutines on the loop share state without locks. [run] blocks the calling thread until [stop] is called.
 */
@OptIn(InternalCoroutinesApi::class)
public class EventLoop(
    public val clock: Clock = SystemClock,
) : CoroutineDispatcher(),
    Delay {
    private val selector = Selector.open()
    private val readyTasks = ArrayDeque<Runnable>()
    private val postedTasks = ConcurrentLinkedQueue<Runnable>()
    private val timers = PriorityQueue<Timer>()
    private var timerCount = 0L

    /** Number of times that the loop has looked at its sockets. */
    internal var turn = 0L
        private set

    /** Number of disposed timers among [timers], without those that another thread disposed of. */
    private var disposedTimers = 0

    @Volatile
    private var thread: Thread? = null

    @Volatile
    private var stopped = false

    /** Runs the loop until [stop] is called; must be called at most once. */
    public fun run() {
        thread = Thread.currentThread()
        while (!stopped) {
            runReady()
            if (!stopped) awaitEvents()
        }
        selector.close()
    }

    /** Makes [run] return after the tasks of its current turn. */
    public fun stop() {
        stopped = true
        selector.wakeup()
    }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        if (Thread.currentThread() === thread) {
            readyTasks.addLast(block)
        } else {
            postedTasks.add(block)
            selector.wakeup()
        }
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer = schedule(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle = schedule(timeMillis, block)

    internal fun register(
        channel: SelectableChannel,
        interest: Int,
        handler: (SelectionKey) -> Unit,
    ): SelectionKey =
        channel.register(selector, interest, handler).also {
            if (Thread.currentThread() !== thread) selector.wakeup()
        }

    internal fun schedule(
        delayMs: Long,
        task: Runnable,
    ): DisposableHandle {
        val timer = Timer(clock.nowMs() + delayMs.coerceIn(0, MAXIMUM_DELAY_MS), timerCount++, task)
        if (Thread.currentThread() === thread) {
            timers.add(timer)
        } else {
            postedTasks.add(Runnable { if (!timer.disposed) timers.add(timer) })
            selector.wakeup()
        }
        return timer
    }

    /** Runs ready tasks. A limited number, since tasks that make further ones ready would keep the loop from its sockets. */
    private fun runReady() {
        repeat(MAXIMUM_TASKS_PER_TURN) {
            while (true) readyTasks.addLast(postedTasks.poll() ?: break)
            runTimers()
            val task = readyTasks.removeFirstOrNull() ?: return
            runGuarded("task") { task.run() }
        }
    }

    /** Runs [work] and logs any error, including JVM errors such as an exhausted stack or heap, so that the loop continues. */
    private inline fun runGuarded(
        where: String,
        work: () -> Unit,
    ) {
        try {
            work()
        } catch (failure: Throwable) {
            logUnexpected(where, failure)
        }
    }

    private fun runTimers() {
        if (timers.isEmpty()) return
        val nowMs = clock.nowMs()
        while (true) {
            val timer = timers.peek() ?: return
            if (!timer.disposed && timer.dueMs > nowMs) return
            timers.poll()
            val task = timer.takeTask()
            if (task == null) disposedTimers = (disposedTimers - 1).coerceAtLeast(0) else readyTasks.addLast(task)
        }
    }

    private fun awaitEvents() {
        turn++
        val waitMs = if (readyTasks.isEmpty()) timers.peek()?.let { it.dueMs - clock.nowMs() } else 0
        when {
            waitMs == null -> selector.select()
            waitMs <= 0 -> selector.selectNow()
            else -> selector.select(waitMs)
        }
        val keys = selector.selectedKeys().iterator()
        while (keys.hasNext()) {
            val key = keys.next()
            keys.remove()
            runGuarded("handler") { handle(key) }
        }
    }

    private fun handle(key: SelectionKey) {
        var failed = true
        try {
            @Suppress("UNCHECKED_CAST")
            if (key.isValid) (key.attachment() as (SelectionKey) -> Unit)(key)
            failed = false
        } catch (_: CancelledKeyException) {
            // A handler that ran earlier in this iteration closed the channel.
            failed = false
        } finally {
            if (failed) key.channel().close()
        }
    }

    /** Number of timers in memory, including disposed ones that have not been removed yet. */
    internal val timersKept: Int get() = timers.size

    /** Removes disposed timers once they are the majority, so that they cost constant time each. */
    private fun onDisposed() {
        disposedTimers++
        if (disposedTimers < MINIMUM_PURGED_TIMERS || disposedTimers * 2 < timers.size) return
        disposedTimers = 0
        timers.removeIf { it.disposed }
    }

    private inner class Timer(
        val dueMs: Long,
        val sequence: Long,
        task: Runnable,
    ) : Comparable<Timer>,
        DisposableHandle {
        private var task: Runnable? = task
        val disposed: Boolean get() = task == null

        /** Returns the task, unless the timer was disposed; it is released in either case. */
        fun takeTask(): Runnable? = task.also { task = null }

        /** Releases the task at once: what it refers to, such as a message and its buffers, is usually far larger than the timer. */
        override fun dispose() {
            if (takeTask() != null && Thread.currentThread() === thread) onDisposed()
        }

        override fun compareTo(other: Timer): Int = compareValuesBy(this, other, { it.dueMs }, { it.sequence })
    }

    private companion object {
        /** Longer than any delay in use; prevents overflow when a delay is added to the current time. */
        const val MAXIMUM_DELAY_MS = 365L * 24 * 3_600_000

        /** Several times the tasks that one event of a socket causes. */
        const val MAXIMUM_TASKS_PER_TURN = 256

        /** Fewer disposed timers are not worth a removal. */
        const val MINIMUM_PURGED_TIMERS = 64
    }
}
