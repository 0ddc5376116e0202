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
    ): ReplayResult = replay(trace, endMs) { model, history, pool, _ -> policy.keepMs(history, model.loadMs, pool) }

    /** Knows the next arrival and keeps a model if and only if that costs less than a cold start. */
    fun clairvoyant(
        trace: List<ModelTrace>,
        endMs: Long,
        idleMsPerColdMs: Double,
    ): ReplayResult = replay(trace, endMs) { model, _, _, gapMs -> if (gapMs <= model.loadMs * idleMsPerColdMs) gapMs else 0 }

    private class Progress(
        val model: ModelTrace,
    ) {
        var next = 0
        var loadedAtMs = Long.MIN_VALUE
        var unloadAtMs = Long.MIN_VALUE
        var history: ArrivalHistory? = null
    }

    /** Takes the arrivals of all models in the order of time, so that no policy learns from what has not happened yet. */
    private fun replay(
        trace: List<ModelTrace>,
        endMs: Long,
        keepMs: (ModelTrace, ArrivalHistory, ArrivalHistory?, Long) -> Long,
    ): ReplayResult {
        val waits = mutableListOf<Long>()
        var idleMs = 0L
        var pool: ArrivalHistory? = null
        val arrivals =
            trace
                .map { Progress(it) }
                .flatMap { progress ->
                    progress.model.arrivalsMs.map { it to progress }
                }.sortedBy { it.first }
        arrivals.forEach { (arrivalMs, progress) ->
            val model = progress.model
            pool = progress.history?.pooledAfter(pool, arrivalMs) ?: pool
            val history = progress.history?.afterArrival(arrivalMs) ?: ArrivalHistory(arrivalMs)
            progress.history = history
            if (arrivalMs > progress.unloadAtMs) {
                progress.loadedAtMs = arrivalMs + model.loadMs
                waits += model.loadMs
            } else if (arrivalMs < progress.loadedAtMs) {
                waits += progress.loadedAtMs - arrivalMs
            }
            val freeMs = maxOf(arrivalMs, progress.loadedAtMs)
            val nextMs = model.arrivalsMs.getOrElse(++progress.next) { Long.MAX_VALUE / 2 }
            progress.unloadAtMs = freeMs + keepMs(model, history, pool, maxOf(0, nextMs - freeMs))
            idleMs += minOf(progress.unloadAtMs, nextMs, maxOf(endMs, freeMs)) - minOf(freeMs, nextMs)
        }
        return ReplayResult(waits.size, waits, idleMs)
    }
}
