package org.almondjunction.decisions

/**
 * Bounds how many requests are sent a second time, so that all gateways together stay within a common budget.
 *
 * Within any window of [windowMs], repeats stay below [ratio] of the first sends seen here plus this gateway's share of [extra].
 *
 * @param extra repeats that all gateways together may make in a window beyond the ratio
 */
public class RepeatAllowance(
    private val ratio: Double,
    private val extra: Double,
    private val windowMs: Long,
) {
    private val firsts = ArrayDeque<Long>()
    private val repeats = ArrayDeque<Long>()

    /** Counts a request that is sent for the first time. */
    public fun first(nowMs: Long) {
        firsts.addLast(nowMs)
        forget(nowMs)
    }

    /** Takes one repeat out of the budget, which [gateways] gateways share; returns false when it is spent. */
    public fun tryRepeat(
        nowMs: Long,
        gateways: Int,
    ): Boolean {
        forget(nowMs)
        val allowed = ratio * firsts.size + extra * SAFE_SHARE / gateways.coerceAtLeast(1)
        if (repeats.size + 1 > allowed) return false
        repeats.addLast(nowMs)
        return true
    }

    private fun forget(nowMs: Long) {
        while (firsts.isNotEmpty() && firsts.first() <= nowMs - windowMs) firsts.removeFirst()
        while (repeats.isNotEmpty() && repeats.first() <= nowMs - windowMs) repeats.removeFirst()
    }

    private companion object {
        /** Part of the common budget that is handed out; the rest covers gateways that count too few of the others. */
        const val SAFE_SHARE = 0.6
    }
}
