package org.almondjunction.common

/**
 * Source of time for every decision, in milliseconds.
 *
 * Values are monotonic within one process and have no meaning outside it.
 */
public fun interface Clock {
    /** Returns the milliseconds since an arbitrary fixed point in this process's life. */
    public fun nowMs(): Long
}

/** Clock of the running machine, unaffected by changes of the calendar time. */
public object SystemClock : Clock {
    private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

    override fun nowMs(): Long = System.nanoTime() / NANOSECONDS_PER_MILLISECOND
}

/** Clock that stands still until it is advanced; used by experiments and tests. */
public class VirtualClock(
    private var currentMs: Long = 0,
) : Clock {
    override fun nowMs(): Long = currentMs

    /** Moves the clock forward by [durationMs], which must not be negative. */
    public fun advanceBy(durationMs: Long) {
        require(durationMs >= 0) { "A clock cannot go back by ${-durationMs} ms." }
        currentMs += durationMs
    }
}
