package org.almondjunction.decisions

/** Recent arrivals of requests for each model, whether they were served, waited or were refused. */
public class DemandStatistics {
    private val rates = mutableMapOf<String, DecayingRate>()

    /** Notes a request for [model]. */
    public fun record(
        model: String,
        nowMs: Long,
    ) {
        if (rates.size >= MOST_MODELS && model !in rates) forgetRarest(nowMs)
        rates.getOrPut(model) { DecayingRate(MEMORY_MS) }.add(1, nowMs)
    }

    /** Returns the recent arrivals for [model] in a second. */
    public fun perSecond(
        model: String,
        nowMs: Long,
    ): Double = rates[model]?.perSecond(nowMs) ?: 0.0

    private fun forgetRarest(nowMs: Long) {
        rates.minByOrNull { it.value.perSecond(nowMs) }?.let { rates -= it.key }
    }

    private companion object {
        /** Arrivals count for about this long: a gap between requests for a rare model, and less than demand takes to move on. */
        const val MEMORY_MS = 3_000.0

        /** Bound on the models that are remembered, whatever names callers send. */
        const val MOST_MODELS = 4_096
    }
}
