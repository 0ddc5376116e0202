package org.almondjunction.decisions

import org.almondjunction.common.ModelId

/**
 * A model that is loaded on a target, seen as a candidate for unloading.
 *
 * @property requestsPerSecond recent demand at this target
 * @property idleMs time since its last request began
 * @property inFlight requests on it that are not answered yet
 * @property otherCopies replicas of it that are loaded on other targets, as far as known
 * @property reloadMs how long a reload on the same target would take
 */
public data class EvictionCandidate(
    val model: ModelId,
    val memoryMb: Long,
    val requestsPerSecond: Double,
    val idleMs: Long,
    val inFlight: Int,
    val otherCopies: Int,
    val reloadMs: Long,
)

/**
 * Models to unload to make room, and what that is expected to cost.
 *
 * @property costMs expected waiting time that it causes, in milliseconds for each second from now on
 */
public data class Eviction(
    val models: List<ModelId>,
    val costMs: Double,
)

/** Decides which loaded models make room for another one. */
public object EvictionPlan {
    /** Returns the cheapest models that free [neededMb] in all; null when that cannot be done now. */
    public fun choose(
        candidates: List<EvictionCandidate>,
        neededMb: Long,
    ): Eviction? {
        if (neededMb <= 0) return Eviction(emptyList(), 0.0)
        val eligible = candidates.filter { it.inFlight == 0 && it.idleMs >= SHORTEST_IDLE_MS }.sortedBy { cost(it) }
        val single = eligible.firstOrNull { it.memoryMb >= neededMb }
        val several = mutableListOf<EvictionCandidate>()
        var freedMb = 0L
        for (candidate in eligible) {
            if (freedMb >= neededMb) break
            several += candidate
            freedMb += candidate.memoryMb
        }
        val choices = listOfNotNull(single?.let { listOf(it) }, several.takeIf { freedMb >= neededMb })
        return choices.map { chosen -> Eviction(chosen.map { it.model }, chosen.sumOf { cost(it) }) }.minByOrNull { it.costMs }
    }

    private fun cost(candidate: EvictionCandidate): Double {
        val share = if (candidate.otherCopies > 0) SHARE_OF_COPY else 1.0
        return (candidate.requestsPerSecond + LEAST_REQUESTS_PER_SECOND) * candidate.reloadMs * share
    }

    /** A model that was asked for more recently is likely to be asked for again; a few times the gap of a busy model. */
    private const val SHORTEST_IDLE_MS = 700L

    /** Demand assumed of a model that has not been asked for, one request in fifty seconds. */
    private const val LEAST_REQUESTS_PER_SECOND = 0.02

    /** Part of the demand that the loss of one of several replicas touches. */
    private const val SHARE_OF_COPY = 0.25
}
