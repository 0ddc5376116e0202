package org.almondjunction.decisions

/** Units per second that waiting requests get, measured only while requests wait. */
internal class BacklogRate {
    private var startedMs: Long? = null
    private var units = 0.0

    /** Records that [served] units went to waiting requests, and whether others still wait. */
    fun record(
        served: Long,
        waiting: Boolean,
        nowMs: Long,
    ) {
        val sinceMs = startedMs
        when {
            !waiting -> startedMs = null
            sinceMs == null -> begin(nowMs)
            else -> {
                units += served
                if (nowMs - sinceMs > HALVING_MS) {
                    units /= 2
                    startedMs = nowMs - (nowMs - sinceMs) / 2
                }
            }
        }
    }

    private fun begin(nowMs: Long) {
        startedMs = nowMs
        units = 0.0
    }

    /** Returns the rate at [nowMs] for a tenant with [limitPerSecond]; the limit itself as long as too little is known. */
    fun perSecond(
        limitPerSecond: Double,
        nowMs: Long,
    ): Double {
        val elapsedMs = nowMs - (startedMs ?: return limitPerSecond)
        if (elapsedMs < MINIMUM_MEASURED_MS) return limitPerSecond
        return (units * MILLISECONDS_PER_SECOND / elapsedMs).coerceAtLeast(limitPerSecond / SMALLEST_SHARE)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val HALVING_MS = 2_000L

        /** A gateway that waits its turn gets nothing for a while, so a shorter measurement would show too little. */
        const val MINIMUM_MEASURED_MS = 500L

        /** Part of the limit that a gateway is assumed to get at least. */
        const val SMALLEST_SHARE = 32
    }
}
