package org.almondjunction.decisions

/**
 * Recent arrivals of requests for one model.
 *
 * @property gapCounts weighted number of observed idle gaps in each bucket, see [bucketOf]
 */
public data class ArrivalHistory(
    val lastArrivalMs: Long,
    val gapCounts: List<Double> = List(BUCKETS) { 0.0 },
) {
    /** Returns the history after one more arrival. */
    public fun afterArrival(nowMs: Long): ArrivalHistory {
        val bucket = bucketOf(nowMs - lastArrivalMs)
        return ArrivalHistory(nowMs, gapCounts.mapIndexed { index, count -> count * DECAY + if (index == bucket) 1.0 else 0.0 })
    }

    /** Returns this history with the gaps of [pool], those of all models together, added as [weight] further gaps. */
    public fun withPrior(
        pool: ArrivalHistory,
        weight: Double,
    ): ArrivalHistory {
        val total = pool.gapCounts.sum()
        if (total == 0.0) return this
        return copy(gapCounts = gapCounts.mapIndexed { bucket, count -> count + weight * pool.gapCounts[bucket] / total })
    }

    /** Returns [pool], the history of all models together, after one more arrival of the model with this history. */
    public fun pooledAfter(
        pool: ArrivalHistory?,
        nowMs: Long,
    ): ArrivalHistory {
        val bucket = bucketOf(nowMs - lastArrivalMs)
        val counts = pool?.gapCounts ?: List(BUCKETS) { 0.0 }
        return ArrivalHistory(nowMs, counts.mapIndexed { index, count -> count * POOL_DECAY + if (index == bucket) 1.0 else 0.0 })
    }

    public companion object {
        /** Number of buckets; each is twice as long as the one before. */
        public const val BUCKETS: Int = 24

        private const val FIRST_BUCKET_MS = 1_000L
        private const val DECAY = 0.98
        private const val POOL_DECAY = 0.998

        /** Returns the bucket of a gap. */
        public fun bucketOf(gapMs: Long): Int =
            (Long.SIZE_BITS - (gapMs / FIRST_BUCKET_MS).coerceAtLeast(0).countLeadingZeroBits()).coerceAtMost(BUCKETS - 1)

        /** Returns the upper bound of [bucket], in milliseconds. */
        public fun upperBoundMs(bucket: Int): Long = FIRST_BUCKET_MS shl bucket
    }
}
