package org.almondjunction.decisions

import kotlin.math.ceil

/**
 * Demand for one model, over all engines.
 *
 * @property prefillMs engine time for processing the prompt of one request, in milliseconds
 * @property answerMs time from sending a request to an engine to the end of its answer, in milliseconds
 * @property batchSize maximum number of requests that an engine processes at once
 */
public data class ModelWorkload(
    val requestsPerSecond: Double,
    val prefillMs: Double,
    val answerMs: Double,
    val batchSize: Int,
)

/** Decides how many replicas a model needs for its demand. */
public object ReplicaPlan {
    /** Returns the number of replicas that serve [workload] beside other models without delay; loaded only into free memory. */
    public fun desired(workload: ModelWorkload): Int = ceil(enginesNeeded(workload) * DESIRED_FACTOR).toInt().coerceIn(1, MAXIMUM_DESIRED)

    /** Returns the number of replicas below which callers wait under [workload]; rarely used models are evicted for them. */
    public fun needed(workload: ModelWorkload): Int = ceil(enginesNeeded(workload)).toInt().coerceIn(1, MAXIMUM_NEEDED)

    /** Returns the number of engines that [workload] needs, if it takes [SHARE_OF_ENGINE] of each. */
    private fun enginesNeeded(workload: ModelWorkload): Double {
        val prefillEngines = workload.requestsPerSecond * workload.prefillMs / MILLISECONDS_PER_SECOND
        val batchEngines = workload.requestsPerSecond * workload.answerMs / MILLISECONDS_PER_SECOND / workload.batchSize.coerceAtLeast(1)
        return maxOf(prefillEngines, batchEngines) / SHARE_OF_ENGINE
    }

    private const val MILLISECONDS_PER_SECOND = 1_000.0

    /** Share of an engine's time or batch slots that one model may take before its callers and those of other models wait. */
    private const val SHARE_OF_ENGINE = 0.5

    /** Desired replicas for each needed one, where memory is free, so that enough remain after the loss of one. */
    private const val DESIRED_FACTOR = 4
    private const val MAXIMUM_DESIRED = 3
    private const val MAXIMUM_NEEDED = 8
}
