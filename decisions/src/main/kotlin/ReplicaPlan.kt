package org.almondjunction.decisions

import kotlin.math.ceil

/**
 * What callers ask of one model, over all engines.
 *
 * @property readMs engine time for reading the prompt of one request, in milliseconds
 * @property answerMs time from sending a request to an engine to the end of its answer, in milliseconds
 * @property batch requests that an engine works on at once
 */
public data class ModelWorkload(
    val requestsPerSecond: Double,
    val readMs: Double,
    val answerMs: Double,
    val batch: Int,
)

/** Decides how many replicas of a model its demand asks for. */
public object ReplicaPlan {
    /** Returns the replicas that serve [load] beside other models without delay; worth having where there is room. */
    public fun desired(load: ModelWorkload): Int = ceil(enginesFilled(load) * EASY).toInt().coerceIn(1, MOST_SPARE_COPIES)

    /** Returns the replicas without which callers wait under [load]; rarely used models make way for them. */
    public fun needed(load: ModelWorkload): Int = ceil(enginesFilled(load)).toInt().coerceIn(1, MOST_NEEDED_COPIES)

    /** Engines of which [load] takes the share that one model may take. */
    private fun enginesFilled(load: ModelWorkload): Double {
        val reading = load.requestsPerSecond * load.readMs / MILLISECONDS_PER_SECOND
        val running = load.requestsPerSecond * load.answerMs / MILLISECONDS_PER_SECOND / load.batch.coerceAtLeast(1)
        return maxOf(reading, running) / SHARE_OF_ENGINE
    }

    private const val MILLISECONDS_PER_SECOND = 1_000.0

    /** Part of an engine's time or places that one model may take before its callers and those of other models wait. */
    private const val SHARE_OF_ENGINE = 0.5

    /** Replicas beyond the needed ones that are worth room which nobody else uses, as a factor: a loss then leaves enough. */
    private const val EASY = 4
    private const val MOST_SPARE_COPIES = 3
    private const val MOST_NEEDED_COPIES = 8
}
