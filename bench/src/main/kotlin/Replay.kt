package org.almondjunction.bench

import org.almondjunction.decisions.ArrivalHistory
import org.almondjunction.decisions.ResidencyPolicy

/**
 * What one policy cost on one trace.
 *
 * @property idleMs time for which models were loaded without a request
 * @property coldMs time that requests waited for loads
 */
internal data class ReplayResult(
    val coldStarts: Int,
    val coldWaitsMs: List<Long>,
    val idleMs: Long,
) {
    val coldMs: Long get() = coldWaitsMs.sum()

    /** Returns the cost in milliseconds of idle time. */
    fun costMs(idleMsPerColdMs: Double): Double = idleMs + coldMs * idleMsPerColdMs
}

/** Replays a trace over the decision when an idle model is unloaded. One replica a model; a request takes no time of its own. */
internal object Replay {
    fun run(
        trace: List<ModelTrace>,
        endMs: Long,
        policy: ResidencyPolicy,
    ): ReplayResult = replay(trace, endMs) { model, history, _ -> policy.keepMs(history, model.loadMs) }

    /** Knows the next arrival and keeps a model if and only if that costs less than a cold start. */
    fun clairvoyant(
        trace: List<ModelTrace>,
        endMs: Long,
        idleMsPerColdMs: Double,
    ): ReplayResult = replay(trace, endMs) { model, _, gapMs -> if (gapMs <= model.loadMs * idleMsPerColdMs) gapMs else 0 }

    private fun replay(
        trace: List<ModelTrace>,
        endMs: Long,
        keepMs: (ModelTrace, ArrivalHistory, Long) -> Long,
    ): ReplayResult {
        val waits = mutableListOf<Long>()
        var idleMs = 0L
        trace.forEach { model ->
            var loadedAtMs = Long.MIN_VALUE
            var unloadAtMs = Long.MIN_VALUE
            var history: ArrivalHistory? = null
            model.arrivalsMs.forEachIndexed { index, arrivalMs ->
                history = history?.arrive(arrivalMs) ?: ArrivalHistory(arrivalMs)
                if (arrivalMs > unloadAtMs) {
                    loadedAtMs = arrivalMs + model.loadMs
                    waits += model.loadMs
                } else if (arrivalMs < loadedAtMs) {
                    waits += loadedAtMs - arrivalMs
                }
                val freeMs = maxOf(arrivalMs, loadedAtMs)
                val nextMs = model.arrivalsMs.getOrElse(index + 1) { Long.MAX_VALUE / 2 }
                val keep = keepMs(model, checkNotNull(history), maxOf(0, nextMs - freeMs))
                unloadAtMs = freeMs + keep
                idleMs += minOf(unloadAtMs, nextMs, maxOf(endMs, freeMs)) - minOf(freeMs, nextMs)
            }
        }
        return ReplayResult(waits.size, waits, idleMs)
    }
}
