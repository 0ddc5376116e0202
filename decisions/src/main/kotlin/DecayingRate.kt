package org.almondjunction.decisions

import kotlin.math.exp

/**
 * Recent events per second, with exponential decay.
 *
 * @param decayMs time constant of the decay, in milliseconds
 */
public class DecayingRate(
    private val decayMs: Double,
) {
    private var ratePerSecond = 0.0
    private var updatedMs = 0L

    /** Records [count] events at [nowMs]. */
    public fun add(
        count: Int,
        nowMs: Long,
    ) {
        ratePerSecond = perSecond(nowMs) + count * MILLISECONDS_PER_SECOND / decayMs
        updatedMs = nowMs
    }

    /** Returns the rate at [nowMs], which must not be before the last event. */
    public fun perSecond(nowMs: Long): Double = if (ratePerSecond == 0.0) 0.0 else ratePerSecond * exp(-(nowMs - updatedMs) / decayMs)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
