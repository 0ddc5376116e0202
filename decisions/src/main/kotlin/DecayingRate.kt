package org.almondjunction.decisions

import kotlin.math.exp

/**
 * How often something happens in a second, of late.
 *
 * @param memoryMs time for which a happening counts, in milliseconds
 */
public class DecayingRate(
    private val memoryMs: Double,
) {
    private var ratePerSecond = 0.0
    private var updatedMs = 0L

    /** Counts [count] happenings at [nowMs]. */
    public fun add(
        count: Int,
        nowMs: Long,
    ) {
        ratePerSecond = perSecond(nowMs) + count * MILLISECONDS_PER_SECOND / memoryMs
        updatedMs = nowMs
    }

    /** Returns the rate at [nowMs], which must not be before the last happening. */
    public fun perSecond(nowMs: Long): Double = if (ratePerSecond == 0.0) 0.0 else ratePerSecond * exp(-(nowMs - updatedMs) / memoryMs)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
