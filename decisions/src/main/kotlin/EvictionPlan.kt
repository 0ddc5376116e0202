package org.almondjunction.decisions

import org.almondjunction.common.ModelId

/**
 * A loaded model of a target that may be evicted.
 *
 * @property requestsPerSecond recent demand at this target
 * @property idleMs time since its last request started
 * @property inFlight requests to it that are not answered yet
 * @property otherReplicas replicas of it loaded on other targets, as far as known
 * @property reloadMs time that a reload on the same target would take
 * @property answerMs usual duration of its requests at their engine
 * @property surplus whether its other replicas can serve all of its callers
 */
public data class EvictionCandidate(
    val model: ModelId,
    val memoryMb: Long,
    val requestsPerSecond: Double,
    val idleMs: Long,
    val inFlight: Int,
    val otherReplicas: Int,
    val reloadMs: Long,
    val answerMs: Long = DEFAULT_ANSWER_MS,
    val surplus: Boolean = false,
) {
    public companion object {
        /** Assumed for a model without observed answers: a typical stream. */
        public const val DEFAULT_ANSWER_MS: Long = 1_200
    }
}

/**
 * Models to evict, and the expected cost.
 *
 * @property costMs expected waiting time of callers that will request them, in milliseconds
 * @property waitMs expected time until the last of them is unused, in milliseconds
 */
public data class Eviction(
    val models: List<ModelId>,
    val costMs: Double,
    val waitMs: Long,
)

/** Decides which loaded models are evicted for another one. */
public object EvictionPlan {
    /**
     * Returns the models that together free [neededMb] at the lowest cost and wait; null if all [candidates] together are too small.
     *
     * @param waitingCallers callers that wait for the memory, including those expected until it is free
     */
    public fun choose(
        candidates: List<EvictionCandidate>,
        neededMb: Long,
        waitingCallers: Double = 1.0,
    ): Eviction? {
        if (neededMb <= 0) return Eviction(emptyList(), 0.0, 0)
        val ranked = candidates.sortedBy { costMs(it) + waitMs(it) * waitingCallers }
        val single = ranked.firstOrNull { it.memoryMb >= neededMb }
        val several = mutableListOf<EvictionCandidate>()
        var freedMb = 0L
        for (candidate in ranked) {
            if (freedMb >= neededMb) break
            several += candidate
            freedMb += candidate.memoryMb
        }
        val choices = listOfNotNull(single?.let { listOf(it) }, several.takeIf { freedMb >= neededMb })
        return choices
            .map { chosen -> Eviction(chosen.map { it.model }, chosen.sumOf { costMs(it) }, chosen.maxOf { waitMs(it) }) }
            .minByOrNull { it.costMs + it.waitMs * waitingCallers }
    }

    /** Returns the expected time until [candidate] is unused, in milliseconds; 0 where it may be unloaded now. */
    public fun waitMs(candidate: EvictionCandidate): Long =
        if (candidate.inFlight > 0) candidate.answerMs else (MINIMUM_IDLE_MS - candidate.idleMs).coerceAtLeast(0)

    private fun costMs(candidate: EvictionCandidate): Double {
        val share =
            when {
                candidate.surplus -> 0.0
                candidate.otherReplicas > 0 -> SHARE_OF_REPLICA
                else -> 1.0
            }
        // Before the first request to a model, its number of replicas is the only sign of its demand.
        val assumed = LoadValue.MINIMUM_REQUESTS_PER_SECOND * (1 + candidate.otherReplicas.coerceAtMost(MAXIMUM_COUNTED_REPLICAS))
        return (candidate.requestsPerSecond * share + assumed) * candidate.reloadMs * HORIZON_S
    }

    /** A model requested more recently is likely to be requested again; a few times the request interval of a busy model. */
    private const val MINIMUM_IDLE_MS = 700L

    /** Further replicas are no sign of higher demand. */
    private const val MAXIMUM_COUNTED_REPLICAS = 3

    /** Share of the demand that the loss of one of several replicas affects. */
    private const val SHARE_OF_REPLICA = 0.25

    /** Time for which the cost of an evicted model is counted; about the time until it is needed and loaded again. */
    private const val HORIZON_S = 3.0
}
