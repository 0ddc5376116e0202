package org.almondjunction.bench

import kotlin.math.ln
import kotlin.random.Random

/**
 * Arrivals of one model, in milliseconds from the start of the trace.
 *
 * @property loadMs time that a load of the model takes
 */
internal data class ModelTrace(
    val model: String,
    val loadMs: Long,
    val arrivalsMs: List<Long>,
)

/**
 * Generates random traces with the load pattern of the deployments: idle days with short visits, and one busy day in the second half.
 *
 * @param models number of models
 * @param days length of the trace, in days
 * @param busyShare share of the models that get requests on the busy day
 * @param quietVisitsPerDay mean number of short visits a day to a model of popularity 1
 */
internal class TraceGenerator(
    private val models: Int,
    private val days: Int,
    private val busyShare: Double,
    private val quietVisitsPerDay: Double,
) {
    /** Returns the trace of [seed]; the same seed gives the same trace. */
    fun generate(seed: Int): List<ModelTrace> {
        val random = Random(seed)
        val busyDay = random.nextInt(days / 2, days)
        return List(models) { index ->
            val modelRandom = Random(random.nextInt())
            val loadMs = LOAD_TIMES_MS.random(modelRandom)
            val arrivals = quiet(modelRandom) + if (modelRandom.nextDouble() < busyShare) busy(modelRandom, busyDay) else emptyList()
            ModelTrace("m$index", loadMs, arrivals.sorted())
        }
    }

    /** Returns visits of a few requests each, at exponentially distributed intervals. */
    private fun quiet(random: Random): List<Long> {
        val popularity = quietVisitsPerDay * POPULARITIES.random(random)
        val arrivals = mutableListOf<Long>()
        var timeMs = exponential(random, DAY_MS / popularity)
        while (timeMs < days * DAY_MS) {
            arrivals += visit(random, timeMs.toLong(), random.nextInt(1, 6), meanGapMs = 40_000.0)
            timeMs += exponential(random, DAY_MS / popularity)
        }
        return arrivals
    }

    private fun busy(
        random: Random,
        day: Int,
    ): List<Long> {
        val startMs = day * DAY_MS + 6 * HOUR_MS + random.nextLong(HOUR_MS)
        return visit(random, startMs, count = random.nextInt(30, 300), meanGapMs = 90_000.0)
    }

    private fun visit(
        random: Random,
        startMs: Long,
        count: Int,
        meanGapMs: Double,
    ): List<Long> = generateSequence(startMs.toDouble()) { it + exponential(random, meanGapMs) }.take(count).map { it.toLong() }.toList()

    private fun exponential(
        random: Random,
        mean: Double,
    ): Double = -mean * ln(1.0 - random.nextDouble())

    companion object {
        const val HOUR_MS = 3_600_000L
        const val DAY_MS = 24 * HOUR_MS
        private val LOAD_TIMES_MS = listOf(2_000L, 8_000L, 20_000L)
        private val POPULARITIES = listOf(0.2, 0.5, 1.0, 2.0, 6.0)
    }
}
