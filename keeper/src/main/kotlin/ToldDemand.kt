package org.almondjunction.keeper

/** Demand for models as the gateways tell it; what a gateway told long ago, or before it left, no longer counts. */
internal class ToldDemand {
    private class Told(
        val demand: Demand,
        val atMs: Long,
    )

    private val byModel = mutableMapOf<String, MutableMap<String, Told>>()

    fun tell(
        gateway: String,
        demand: Demand,
        nowMs: Long,
    ) {
        byModel.getOrPut(demand.model) { mutableMapOf() }[gateway] = Told(demand, nowMs)
    }

    fun forget(gateway: String): Unit = byModel.values.forEach { it -= gateway }

    /** Returns the demand of all gateways together; null where none has told of it lately. */
    fun perSecond(
        model: String,
        nowMs: Long,
    ): Double? = fresh(model, nowMs).takeIf { it.isNotEmpty() }?.sumOf { it.requestsPerSecond.toDouble() }

    /** Returns how long requests for [model] take by what the gateways tell; null where none has told of it lately. */
    fun answerMs(
        model: String,
        nowMs: Long,
    ): Long? {
        val told = fresh(model, nowMs).map { it.answerMs }.filter { it > 0 }
        return if (told.isEmpty()) null else told.average().toLong()
    }

    private fun fresh(
        model: String,
        nowMs: Long,
    ): List<Demand> =
        byModel[model]
            ?.values
            .orEmpty()
            .filter { nowMs - it.atMs <= FORGET_MS }
            .map { it.demand }

    private companion object {
        /** Gateways with callers tell every 500 ms. */
        const val FORGET_MS = 3_000L
    }
}
