package org.almondjunction.decisions

/**
 * Limits the models that are loaded from the weight store at the same time, by how long such loads take.
 *
 * The store serves a few loads at full speed; how many is not known in advance. With more, each takes longer in proportion, so that the
 * first model is there later and none is there sooner.
 */
public class StoreLoadLimit {
    /** Number of concurrent loads that is known to slow them down; null if none is. */
    private var slowCount: Int? = null
    private var slowMs = 0L

    /** Returns how many loads that take [usualMs] at full speed may run at once. */
    public fun current(
        usualMs: Long,
        nowMs: Long,
    ): Int {
        val bearable = (BEARABLE_MS / usualMs.coerceAtLeast(1)).coerceIn(1, MAXIMUM_LOADS).toInt()
        val slow = slowCount?.takeIf { nowMs - slowMs < MEMORY_MS } ?: return bearable
        return (slow - 1).coerceIn(1, bearable)
    }

    /** Records that a load has taken [takenMs] so far, usually [usualMs], while [concurrent] loads were running. */
    public fun record(
        takenMs: Long,
        usualMs: Long,
        concurrent: Int,
        nowMs: Long,
    ) {
        if (concurrent < 2 || takenMs < usualMs * SLOW_FACTOR) return
        slowCount = minOf(concurrent, current(usualMs, nowMs) + 1)
        slowMs = nowMs
    }

    private companion object {
        /** Time within which concurrent loads have ended even if the store serves only one at full speed: the longest that callers wait. */
        const val BEARABLE_MS = 25_000L
        const val MAXIMUM_LOADS = 4L

        /** Loads at full speed take up to a tenth longer than configured. */
        const val SLOW_FACTOR = 1.25

        /** A store that was slow is tried again after some loads. */
        const val MEMORY_MS = 60_000L
    }
}
