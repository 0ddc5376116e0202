package org.almondjunction.decisions

/**
 * Arrivals of one model in this season.
 *
 * @property gapCounts idle gaps seen, counted by [bucketOf] their length
 */
public data class ArrivalHistory(
    val lastArrivalMs: Long,
    val gapCounts: List<Double> = List(BUCKETS) { 0.0 },
) {
    /** Returns the history after one more arrival. */
    public fun afterArrival(nowMs: Long): ArrivalHistory {
        val bucket = bucketOf(nowMs - lastArrivalMs)
        return ArrivalHistory(nowMs, gapCounts.mapIndexed { index, count -> count * FORGETTING + if (index == bucket) 1.0 else 0.0 })
    }

    /** Returns this history with the gaps of [pool], all models taken together, counted as [weight] gaps more. */
    public fun withPrior(
        pool: ArrivalHistory,
        weight: Double,
    ): ArrivalHistory {
        val total = pool.gapCounts.sum()
        if (total == 0.0) return this
        return copy(gapCounts = gapCounts.mapIndexed { bucket, count -> count + weight * pool.gapCounts[bucket] / total })
    }

    /** Returns the history of all models taken together after one of them, with this history, has one more arrival. */
    public fun pooledAfter(
        pool: ArrivalHistory?,
        nowMs: Long,
    ): ArrivalHistory {
        val bucket = bucketOf(nowMs - lastArrivalMs)
        val counts = pool?.gapCounts ?: List(BUCKETS) { 0.0 }
        return ArrivalHistory(nowMs, counts.mapIndexed { index, count -> count * POOL_FORGETTING + if (index == bucket) 1.0 else 0.0 })
    }

    public companion object {
        /** Number of buckets; each is twice as long as the one before. */
        public const val BUCKETS: Int = 24

        private const val FIRST_BUCKET_MS = 1_000L
        private const val FORGETTING = 0.98
        private const val POOL_FORGETTING = 0.998

        /** Returns the bucket of a gap. */
        public fun bucketOf(gapMs: Long): Int =
            (Long.SIZE_BITS - (gapMs / FIRST_BUCKET_MS).coerceAtLeast(0).countLeadingZeroBits()).coerceAtMost(BUCKETS - 1)

        /** Returns the upper bound of [bucket], in milliseconds. */
        public fun upperBoundMs(bucket: Int): Long = FIRST_BUCKET_MS shl bucket
    }
}
