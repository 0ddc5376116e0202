package org.almondjunction.decisions

/** Estimates the work of the requests for each model from observed answers. */
public class WorkloadStatistics {
    private class Entry(
        var uncachedTokens: Double,
        var answerMs: Double,
    )

    private val entries = LruMap<String, Entry>(MAXIMUM_MODELS)

    /** Records an answer of [model] that took [answerMs] at its engine, which had [uncachedTokens] prompt tokens to process. */
    public fun record(
        model: String,
        uncachedTokens: Long,
        answerMs: Long,
    ) {
        val entry = entries.getOrPut(model) { Entry(uncachedTokens.toDouble(), answerMs.toDouble()) }
        entry.uncachedTokens += (uncachedTokens - entry.uncachedTokens) * SAMPLE_WEIGHT
        entry.answerMs += (answerMs - entry.answerMs) * SAMPLE_WEIGHT
    }

    /** Returns the mean duration of answers of [model] at their engine; a default before the first answer. */
    public fun answerMs(model: String): Double = entries[model]?.answerMs ?: EvictionCandidate.DEFAULT_ANSWER_MS.toDouble()

    /** Returns the workload of [model], at engines that process [prefillTokensPerMs]; a default before the first answer. */
    public fun workload(
        model: String,
        requestsPerSecond: Double,
        prefillTokensPerMs: Double,
        batchSize: Int,
    ): ModelWorkload {
        val entry = entries[model]
        val prefillMs = entry?.let { it.uncachedTokens / prefillTokensPerMs } ?: DEFAULT_PREFILL_MS
        return ModelWorkload(requestsPerSecond, prefillMs, answerMs(model), batchSize)
    }

    private companion object {
        /** Averages over about a dozen answers. */
        const val SAMPLE_WEIGHT = 0.06

        /** Assumed for a model without answers: a prompt of a few thousand tokens. */
        const val DEFAULT_PREFILL_MS = 80.0

        /** Maximum number of models; the least recently used are evicted. */
        const val MAXIMUM_MODELS = 4_096
    }
}
