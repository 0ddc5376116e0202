package org.almondjunction.decisions

import org.almondjunction.common.TargetId

/**
 * A target that may receive a request, with current estimates.
 *
 * @property distanceMs one-way network delay to it
 * @property waitMs expected wait before it starts the request
 * @property workMs expected time from then to the first part of the answer
 * @property failureShare share of recent sends to it that failed, 0 to 1
 * @property affinity 0 to 1; breaks ties the same way in every gateway
 */
public data class TargetCandidate(
    val target: TargetId,
    val distanceMs: Double,
    val waitMs: Double,
    val workMs: Double,
    val failureShare: Double,
    val affinity: Double,
) {
    /** Expected time to the first part of an answer, including the expected cost of a failure. */
    public val expectedMs: Double
        get() = 2 * distanceMs + waitMs + workMs + failureShare * FAILURE_COST_MS

    private companion object {
        /** Time that a failed send costs its caller; about the latency objective of a short request. */
        const val FAILURE_COST_MS = 500.0
    }
}

/** Chooses the target for a request. */
public object TargetChoice {
    /** Returns the candidate with the shortest expected time; affinity decides between near ties. */
    public fun choose(candidates: List<TargetCandidate>): TargetCandidate? {
        val best = candidates.minOfOrNull { it.expectedMs } ?: return null
        return candidates.filter { it.expectedMs <= best + TIE_MS }.maxBy { it.affinity }
    }

    /** Differences below this are within the error of the estimates. */
    private const val TIE_MS = 8.0
}
