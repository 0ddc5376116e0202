package org.almondjunction.bench

import org.almondjunction.decisions.ArrivalHistory
import org.almondjunction.decisions.ResidencyPolicy

/**
 * Cost of one policy on one trace.
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

    /** Returns the total cost in milliseconds of idle time; a millisecond of cold-start wait costs [idleMsPerColdMs] of these. */
    fun costMs(idleMsPerColdMs: Double): Double = idleMs + coldMs * idleMsPerColdMs
}

/** Replays a trace against a policy that decides when an idle model is unloaded. Each model has one replica; a request takes no time. */
internal object Replay {
    fun run(
        trace: List<ModelTrace>,
        endMs: Long,
        policy: ResidencyPolicy,
    ): ReplayResult = replay(trace, endMs) { model, history, pooledHistory, _ -> policy.keepMs(history, model.loadMs, pooledHistory) }

    /** Replays the optimal policy: it knows the next arrival and keeps a model if and only if that costs no more than a cold start. */
    fun clairvoyant(
        trace: List<ModelTrace>,
        endMs: Long,
        idleMsPerColdMs: Double,
    ): ReplayResult = replay(trace, endMs) { model, _, _, gapMs -> if (gapMs <= model.loadMs * idleMsPerColdMs) gapMs else 0 }

    private class ModelProgress(
        val model: ModelTrace,
    ) {
        var next = 0
        var loadedAtMs = Long.MIN_VALUE
        var unloadAtMs = Long.MIN_VALUE
        var history: ArrivalHistory? = null
    }

    /** Processes the arrivals of all models in the order of time, so that no policy learns from future arrivals. */
    private fun replay(
        trace: List<ModelTrace>,
        endMs: Long,
        keepMs: (ModelTrace, ArrivalHistory, ArrivalHistory?, Long) -> Long,
    ): ReplayResult {
        val waits = mutableListOf<Long>()
        var idleMs = 0L
        var pooledHistory: ArrivalHistory? = null
        val arrivals =
            trace
                .map { ModelProgress(it) }
                .flatMap { progress ->
                    progress.model.arrivalsMs.map { it to progress }
                }.sortedBy { it.first }
        arrivals.forEach { (arrivalMs, progress) ->
            val model = progress.model
            pooledHistory = progress.history?.pooledAfter(pooledHistory, arrivalMs) ?: pooledHistory
            val history = progress.history?.afterArrival(arrivalMs) ?: ArrivalHistory(arrivalMs)
            progress.history = history
            if (arrivalMs > progress.unloadAtMs) {
                progress.loadedAtMs = arrivalMs + model.loadMs
                waits += model.loadMs
            } else if (arrivalMs < progress.loadedAtMs) {
                waits += progress.loadedAtMs - arrivalMs
            }
            val idleFromMs = maxOf(arrivalMs, progress.loadedAtMs)
            val nextMs = model.arrivalsMs.getOrElse(++progress.next) { Long.MAX_VALUE / 2 }
            progress.unloadAtMs = idleFromMs + keepMs(model, history, pooledHistory, maxOf(0, nextMs - idleFromMs))
            idleMs += minOf(progress.unloadAtMs, nextMs, maxOf(endMs, idleFromMs)) - minOf(idleFromMs, nextMs)
        }
        return ReplayResult(waits.size, waits, idleMs)
    }
}
