package org.almondjunction.decisions

import kotlin.random.Random

/** Exponential back-off with full jitter: each delay is uniform between 0 and a bound that doubles up to [maximumMs]. */
public class Backoff(
    private val initialMs: Long,
    private val maximumMs: Long,
    private val random: Random,
) {
    private var boundMs = initialMs

    /** Returns the delay before the next attempt, in milliseconds. */
    public fun nextDelayMs(): Long {
        val delayMs = random.nextLong(boundMs + 1)
        boundMs = minOf(maximumMs, boundMs * 2)
        return delayMs
    }

    /** Starts again from the initial bound; to be called after a success. */
    public fun reset() {
        boundMs = initialMs
    }
}
