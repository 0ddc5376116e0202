package org.almondjunction.decisions

/** Learns from answers how much work the requests for each model are. */
public class WorkloadStatistics {
    private class Entry(
        var unreadTokens: Double,
        var answerMs: Double,
    )

    private val entries = RecentlyUsed<String, Entry>(MOST_MODELS)

    /** Notes an answer of [model] that took [answerMs] at its engine, which had [unreadTokens] of the prompt still to read. */
    public fun record(
        model: String,
        unreadTokens: Long,
        answerMs: Long,
    ) {
        val entry = entries.getOrPut(model) { Entry(unreadTokens.toDouble(), answerMs.toDouble()) }
        entry.unreadTokens += (unreadTokens - entry.unreadTokens) * NEWEST_WEIGHT
        entry.answerMs += (answerMs - entry.answerMs) * NEWEST_WEIGHT
    }

    /** Returns how long answers of [model] take at their engine; assumed where nothing is known. */
    public fun answerMs(model: String): Double = entries[model]?.answerMs ?: EvictionCandidate.DEFAULT_ANSWER_MS.toDouble()

    /** Returns the load of [model] under [requestsPerSecond], at engines that read [tokensReadPerMs]; assumed where nothing is known. */
    public fun workload(
        model: String,
        requestsPerSecond: Double,
        tokensReadPerMs: Double,
        batch: Int,
    ): ModelWorkload {
        val entry = entries[model]
        val readMs = entry?.let { it.unreadTokens / tokensReadPerMs } ?: UNKNOWN_READ_MS
        return ModelWorkload(requestsPerSecond, readMs, answerMs(model), batch)
    }

    private companion object {
        /** Some dozen answers tell what a model's requests are like by now. */
        const val NEWEST_WEIGHT = 0.06

        /** Assumed of a model without answers: a prompt of some thousand tokens. */
        const val UNKNOWN_READ_MS = 80.0

        /** Bound on the models that are remembered; the least recently used are forgotten. */
        const val MOST_MODELS = 4_096
    }
}
