package org.almondjunction.decisions

/**
 * Decides when a slow request is sent a second time, and whether that is allowed.
 *
 * Second sends stay within a share of this gateway's own first sends, so that the share also holds over all gateways.
 *
 * @property share second sends for each first send of the last [WINDOW_MS], 0 to 1; 0 switches them off; may change at any time
 */
public class HedgePolicy(
    public var share: Double,
) {
    private val durationsMs = LruMap<String, ArrayDeque<Long>>(MAXIMUM_ROUTES)
    private val firstSendsMs = ArrayDeque<Long>()
    private val secondSendsMs = ArrayDeque<Long>()

    /** Records the first send of a request. */
    public fun recordFirstSend(nowMs: Long) {
        if (share <= 0.0) return
        firstSendsMs.addLast(nowMs)
        expire(nowMs)
    }

    /** Records that a send on [route] took [durationMs] until its answer, or until the first part of a stream. */
    public fun recordDuration(
        route: String,
        durationMs: Long,
    ) {
        if (share <= 0.0) return
        val samples = durationsMs.getOrPut(route) { ArrayDeque() }
        samples.addLast(durationMs)
        if (samples.size > MAXIMUM_SAMPLES) samples.removeFirst()
    }

    /** Returns the time after which a send on [route] counts as slow; null if that is not known yet, or second sends are off. */
    public fun delayMs(route: String): Long? {
        val samples = durationsMs[route]?.takeIf { share > 0.0 && it.size >= MINIMUM_SAMPLES } ?: return null
        return samples.sorted()[(samples.size - 1) * SLOW_PERCENTILE / PERCENT].coerceAtLeast(MINIMUM_DELAY_MS)
    }

    /** Decides on a second send now; [takeRetry] is called last and takes one retry from the budget shared by all gateways. */
    public fun decide(
        situation: HedgeSituation,
        nowMs: Long,
        takeRetry: () -> Boolean,
    ): HedgeDecision {
        expire(nowMs)
        val reason = obstacle(situation) ?: HedgeDecision.Reason.RETRY_BUDGET.takeUnless { takeRetry() }
        if (reason != null) return HedgeDecision.Withhold(reason)
        secondSendsMs.addLast(nowMs)
        return HedgeDecision.Send
    }

    private fun obstacle(situation: HedgeSituation): HedgeDecision.Reason? {
        val expectedMs = situation.expectedMs
        return when {
            situation.runsLeft < 1 -> HedgeDecision.Reason.MAXIMUM_TARGETS
            situation.suspect -> HedgeDecision.Reason.SUSPECT
            situation.freeTargets * FREE_TARGETS_DIVISOR < situation.targets -> HedgeDecision.Reason.PRESSURE
            expectedMs == null -> HedgeDecision.Reason.NO_FREE_TARGET
            expectedMs >= situation.elapsedMs -> HedgeDecision.Reason.NOT_SOONER
            situation.timeLeftMs < maxOf(expectedMs, MINIMUM_TIME_LEFT_MS) -> HedgeDecision.Reason.TIME_LEFT
            secondSendsMs.size + 1 > share * firstSendsMs.size -> HedgeDecision.Reason.LIMIT
            else -> null
        }
    }

    private fun expire(nowMs: Long) {
        while (firstSendsMs.isNotEmpty() && firstSendsMs.first() <= nowMs - WINDOW_MS) firstSendsMs.removeFirst()
        while (secondSendsMs.isNotEmpty() && secondSendsMs.first() <= nowMs - WINDOW_MS) secondSendsMs.removeFirst()
    }

    public companion object {
        /** Window of the share; the same as that of the shared retry budget. */
        public const val WINDOW_MS: Long = 10_000

        /** With fewer samples, the 95th percentile would be the slowest of them. */
        public const val MINIMUM_SAMPLES: Int = 20

        /** Samples kept per route; a few seconds of a busy route, so that a slowdown of all targets has an effect soon. */
        private const val MAXIMUM_SAMPLES = 100

        /** Maximum number of routes; the least recently used are evicted. */
        private const val MAXIMUM_ROUTES = 512
        private const val SLOW_PERCENTILE = 95
        private const val PERCENT = 100

        /** Shorter delays are within the error of timers on a busy host. */
        private const val MINIMUM_DELAY_MS = 10L

        /** With less time left, no answer can arrive over one round trip between regions. */
        private const val MINIMUM_TIME_LEFT_MS = 40.0

        /** At least the targets divided by this must be free; extra work on a full service slows down all its requests. */
        private const val FREE_TARGETS_DIVISOR = 2
    }
}
