package org.almondjunction.decisions

/**
 * Limits retries, so that all gateways together stay within a common budget.
 *
 * @property limits limits in force; may change at any time
 */
public class SharedRetryBudget(
    public var limits: RetryLimits,
) {
    private val firstSendsMs = ArrayDeque<Long>()
    private val retriesMs = ArrayDeque<Long>()

    /** Records the first send of a request. */
    public fun recordFirstSend(nowMs: Long) {
        firstSendsMs.addLast(nowMs)
        expire(nowMs)
    }

    /** Takes one retry from the budget that [gateways] gateways share; returns false when the budget is spent. */
    public fun tryRetry(
        nowMs: Long,
        gateways: Int,
    ): Boolean {
        if (!allows(nowMs, gateways)) return false
        retriesMs.addLast(nowMs)
        return true
    }

    /** Whether [tryRetry] would succeed now. */
    public fun allows(
        nowMs: Long,
        gateways: Int,
    ): Boolean {
        expire(nowMs)
        return retriesMs.size + 1 <= limits.ratio * firstSendsMs.size + limits.extra * SAFE_SHARE / gateways.coerceAtLeast(1)
    }

    private fun expire(nowMs: Long) {
        while (firstSendsMs.isNotEmpty() && firstSendsMs.first() <= nowMs - limits.windowMs) firstSendsMs.removeFirst()
        while (retriesMs.isNotEmpty() && retriesMs.first() <= nowMs - limits.windowMs) retriesMs.removeFirst()
    }

    private companion object {
        /** Fraction of the common budget that is used; the rest covers gateways that count too few of the others. */
        const val SAFE_SHARE = 0.6
    }
}
