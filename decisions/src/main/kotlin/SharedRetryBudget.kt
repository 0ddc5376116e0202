package org.almondjunction.decisions

/**
 * Bounds how many requests are sent a second time, so that all gateways together stay within a common budget.
 *
 * @property limits what is allowed; may change at any time
 */
public class SharedRetryBudget(
    public var limits: RetryLimits,
) {
    private val firsts = ArrayDeque<Long>()
    private val repeats = ArrayDeque<Long>()

    /** Counts a request that is sent for the first time. */
    public fun recordFirstSend(nowMs: Long) {
        firsts.addLast(nowMs)
        forget(nowMs)
    }

    /** Takes one repeat out of the budget, which [gateways] gateways share; returns false when it is spent. */
    public fun tryRetry(
        nowMs: Long,
        gateways: Int,
    ): Boolean {
        if (!allows(nowMs, gateways)) return false
        repeats.addLast(nowMs)
        return true
    }

    /** Whether [tryRetry] would take one repeat now. */
    public fun allows(
        nowMs: Long,
        gateways: Int,
    ): Boolean {
        forget(nowMs)
        return repeats.size + 1 <= limits.ratio * firsts.size + limits.extra * SAFE_SHARE / gateways.coerceAtLeast(1)
    }

    private fun forget(nowMs: Long) {
        while (firsts.isNotEmpty() && firsts.first() <= nowMs - limits.windowMs) firsts.removeFirst()
        while (repeats.isNotEmpty() && repeats.first() <= nowMs - limits.windowMs) repeats.removeFirst()
    }

    private companion object {
        /** Part of the common budget that is handed out; the rest covers gateways that count too few of the others. */
        const val SAFE_SHARE = 0.6
    }
}
