package org.almondjunction.decisions

/**
 * Limits the models that are loaded from the weight store at the same time, by how long such loads take.
 *
 * The store serves a few loads at full speed. With more, each takes longer in proportion, so that the first model is there later and none
 * is there sooner.
 *
 * @param maximum limit as long as loads take their usual time
 */
public class StoreLoadLimit(
    private val maximum: Int,
) {
    /** Number of concurrent loads that is known to slow them down; null if none is. */
    private var slowCount: Int? = null
    private var slowMs = 0L

    /** Returns the number of concurrent loads that the store is expected to serve at full speed. */
    public fun current(nowMs: Long): Int {
        val slow = slowCount ?: return maximum
        if (nowMs - slowMs >= MEMORY_MS) return maximum
        return (slow - 1).coerceIn(1, maximum)
    }

    /** Records that a load has taken [takenMs] so far, usually [usualMs], while [concurrent] loads were running. */
    public fun record(
        takenMs: Long,
        usualMs: Long,
        concurrent: Int,
        nowMs: Long,
    ) {
        if (concurrent < 2 || takenMs < usualMs * SLOW_FACTOR) return
        slowCount = minOf(concurrent, current(nowMs) + 1)
        slowMs = nowMs
    }

    public companion object {
        /** Concurrent loads from the weight store over all engines: the fewest that any of the users' stores supports at full speed. */
        public const val FEWEST: Int = 2

        /** The most that any of the users' stores supports at full speed, for models that callers wait for. */
        public const val MOST: Int = 4

        /** Loads at full speed take up to a tenth longer than configured. */
        private const val SLOW_FACTOR = 1.25

        /** A store that was slow is tried again after some loads. */
        private const val MEMORY_MS = 60_000L
    }
}
