package org.almondjunction.decisions

/** Recent arrival rate of requests for each model, whether they were served, queued or refused. */
public class DemandStatistics {
    private val rates = mutableMapOf<String, DecayingRate>()

    /** Records a request for [model]. */
    public fun record(
        model: String,
        nowMs: Long,
    ) {
        if (rates.size >= MAXIMUM_MODELS && model !in rates) evictRarest(nowMs)
        rates.getOrPut(model) { DecayingRate(TIME_CONSTANT_MS) }.add(1, nowMs)
    }

    /** Returns the recent arrivals for [model] per second. */
    public fun perSecond(
        model: String,
        nowMs: Long,
    ): Double = rates[model]?.perSecond(nowMs) ?: 0.0

    private fun evictRarest(nowMs: Long) {
        rates.minByOrNull { it.value.perSecond(nowMs) }?.let { rates -= it.key }
    }

    private companion object {
        /** About the gap between requests for a rare model, and shorter than a shift of demand between models takes. */
        const val TIME_CONSTANT_MS = 3_000.0

        /** Bounds the memory, since callers may send any name. */
        const val MAXIMUM_MODELS = 4_096
    }
}
