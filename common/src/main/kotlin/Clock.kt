package org.almondjunction.common

/**
 * Source of time for every decision, in milliseconds.
 *
 * Values are monotonic within one process and have no meaning outside it.
 */
public fun interface Clock {
    /** Returns the milliseconds elapsed since an arbitrary instant that is fixed for the lifetime of the process. */
    public fun nowMs(): Long
}

/** Monotonic clock of the host, unaffected by changes of the wall-clock time. */
public object SystemClock : Clock {
    private const val NANOSECONDS_PER_MILLISECOND = 1_000_000L

    override fun nowMs(): Long = System.nanoTime() / NANOSECONDS_PER_MILLISECOND
}

/** Clock that is advanced explicitly, for simulations and tests. */
public class VirtualClock(
    private var currentMs: Long = 0,
) : Clock {
    override fun nowMs(): Long = currentMs

    /** Moves the clock forward by [durationMs], which must not be negative. */
    public fun advanceBy(durationMs: Long) {
        require(durationMs >= 0) { "A clock cannot be moved back by ${-durationMs} ms." }
        currentMs += durationMs
    }
}
