package org.almondjunction.decisions

import org.almondjunction.common.ModelId

/**
 * A model that is loaded on a target, seen as a candidate for unloading.
 *
 * @property requestsPerSecond recent demand at this target
 * @property idleMs time since its last request began
 * @property inFlight requests on it that are not answered yet
 * @property otherReplicas replicas of it that are loaded on other targets, as far as known
 * @property reloadMs how long a reload on the same target would take
 * @property answerMs how long its requests usually take at their engine
 * @property surplus whether its other copies serve all of its callers without it
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
        /** Assumed of a model whose answers nobody has seen: a typical stream. */
        public const val DEFAULT_ANSWER_MS: Long = 1_200
    }
}

/**
 * Models to unload to make room, and what that is expected to cost.
 *
 * @property costMs expected waiting time of those who will ask for them, in milliseconds
 * @property waitMs expected time until the last of them is unused, in milliseconds
 */
public data class Eviction(
    val models: List<ModelId>,
    val costMs: Double,
    val waitMs: Long,
)

/** Decides which loaded models make room for another one. */
public object EvictionPlan {
    /**
     * Returns the models that free [neededMb] in all at the least cost and wait; null when all of [candidates] together are too small.
     *
     * @param waiting callers that wait for the room, and will by then
     */
    public fun choose(
        candidates: List<EvictionCandidate>,
        neededMb: Long,
        waiting: Double = 1.0,
    ): Eviction? {
        if (neededMb <= 0) return Eviction(emptyList(), 0.0, 0)
        val ranked = candidates.sortedBy { costMs(it) + waitMs(it) * waiting }
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
            .minByOrNull { it.costMs + it.waitMs * waiting }
    }

    /** Returns the expected time until [candidate] is unused, in milliseconds; 0 where it may be unloaded now. */
    public fun waitMs(candidate: EvictionCandidate): Long =
        if (candidate.inFlight > 0) candidate.answerMs else (SHORTEST_IDLE_MS - candidate.idleMs).coerceAtLeast(0)

    private fun costMs(candidate: EvictionCandidate): Double {
        val share =
            when {
                candidate.surplus -> 0.0
                candidate.otherReplicas > 0 -> SHARE_OF_COPY
                else -> 1.0
            }
        // Each replica of a model that nobody has asked for yet tells that it is a busy one.
        val assumed = LoadValue.LEAST_REQUESTS_PER_SECOND * (1 + candidate.otherReplicas.coerceAtMost(MOST_TELLING_COPIES))
        return (candidate.requestsPerSecond * share + assumed) * candidate.reloadMs * HORIZON_S
    }

    /** A model that was asked for more recently is likely to be asked for again; a few times the gap of a busy model. */
    private const val SHORTEST_IDLE_MS = 700L

    /** More replicas than this tell nothing more of the demand. */
    private const val MOST_TELLING_COPIES = 3

    /** Part of the demand that the loss of one of several replicas touches. */
    private const val SHARE_OF_COPY = 0.25

    /** Time over which the absence of an unloaded model is counted; about the time until it is needed and loaded again. */
    private const val HORIZON_S = 3.0
}
