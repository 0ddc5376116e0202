package org.almondjunction.decisions

/** Decides how long an idle model stays loaded. */
public sealed class ResidencyPolicy {
    /**
     * Returns how long a model stays loaded after its last request, in milliseconds.
     *
     * [history] is that of the model, [pool] that of all models of the target together.
     */
    public abstract fun keepMs(
        history: ArrivalHistory?,
        loadMs: Long,
        pool: ArrivalHistory? = null,
    ): Long

    /** Keeps every model for the same time. */
    public data class FixedIdleTime(
        val idleMs: Long,
    ) : ResidencyPolicy() {
        override fun keepMs(
            history: ArrivalHistory?,
            loadMs: Long,
            pool: ArrivalHistory?,
        ): Long = idleMs
    }

    /**
     * Keeps a model until its idle time has cost as much as one cold start, whatever its history.
     *
     * @property idleMsPerColdMs milliseconds of idle accelerator time that are worth one millisecond of cold-start time
     * @property maximumKeepMs longest idle time in any case, so that eviction of idle models is ensured
     */
    public data class BreakEven(
        val idleMsPerColdMs: Double,
        val maximumKeepMs: Long = MAXIMUM_KEEP_MS,
    ) : ResidencyPolicy() {
        override fun keepMs(
            history: ArrivalHistory?,
            loadMs: Long,
            pool: ArrivalHistory?,
        ): Long = breakEvenMs(loadMs, idleMsPerColdMs, maximumKeepMs)
    }

    /**
     * Keeps a model for the time that would have had the lowest cost over its recent idle gaps.
     *
     * The time never exceeds the break-even time, which also applies while few gaps have been observed: the cost is at most twice that
     * of a policy that knows the future. Old gaps lose weight, so that the policy follows the changes of demand over a day.
     *
     * @property idleMsPerColdMs milliseconds of idle accelerator time that are worth one millisecond of cold-start time
     * @property maximumKeepMs longest idle time in any case, so that eviction of idle models is ensured
     * @property minimumGaps total weight of observed gaps from which they are used
     * @property priorWeight number of gaps as which the gaps of all models together count
     */
    public data class LearnedGaps(
        val idleMsPerColdMs: Double,
        val maximumKeepMs: Long = MAXIMUM_KEEP_MS,
        val minimumGaps: Double = 3.0,
        val priorWeight: Double = 4.0,
    ) : ResidencyPolicy() {
        override fun keepMs(
            history: ArrivalHistory?,
            loadMs: Long,
            pool: ArrivalHistory?,
        ): Long {
            val breakEvenMs = breakEvenMs(loadMs, idleMsPerColdMs, maximumKeepMs)
            val own = history ?: return breakEvenMs
            val gaps = if (pool == null) own else own.withPrior(pool, priorWeight)
            if (gaps.gapCounts.sum() < minimumGaps) return breakEvenMs
            val bounds = (0 until ArrivalHistory.BUCKETS).map { ArrivalHistory.upperBoundMs(it) }.filter { it < breakEvenMs }
            val choices = listOf(0L) + bounds + breakEvenMs
            return choices.minBy { costMs(it, breakEvenMs, gaps) }
        }

        /** Returns the cost of [keepMs] over the gaps of [history], in milliseconds of idle time; a cold start costs [coldMs]. */
        private fun costMs(
            keepMs: Long,
            coldMs: Long,
            history: ArrivalHistory,
        ): Double =
            history.gapCounts
                .mapIndexed { bucket, count ->
                    val gapMs = ArrivalHistory.upperBoundMs(bucket)
                    count * if (gapMs <= keepMs) gapMs * MEAN_SHARE_OF_BUCKET else (keepMs + coldMs).toDouble()
                }.sum()
    }

    public companion object {
        /** Default of the longest idle time. */
        public const val MAXIMUM_KEEP_MS: Long = 6 * 3_600_000L

        /** Mean length of a gap as a share of its bucket's upper bound. */
        private const val MEAN_SHARE_OF_BUCKET = 0.75

        private fun breakEvenMs(
            loadMs: Long,
            idleMsPerColdMs: Double,
            maximumKeepMs: Long,
        ): Long = minOf(maximumKeepMs, (loadMs * idleMsPerColdMs).toLong())
    }
}
