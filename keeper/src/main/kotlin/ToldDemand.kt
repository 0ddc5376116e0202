package org.almondjunction.keeper

/** Demand for models as the gateways tell it; what a gateway told long ago, or before it left, no longer counts. */
internal class ToldDemand {
    private class Told(
        val perSecond: Double,
        val answerMs: Int,
        val atMs: Long,
    )

    private val byModel = mutableMapOf<String, MutableMap<String, Told>>()

    fun tell(
        gateway: String,
        model: String,
        perSecond: Double,
        nowMs: Long,
        answerMs: Int = 0,
    ) {
        byModel.getOrPut(model) { mutableMapOf() }[gateway] = Told(perSecond, answerMs, nowMs)
    }

    fun forget(gateway: String): Unit = byModel.values.forEach { it -= gateway }

    /** Returns the demand of all gateways together; null where none has told of it lately. */
    fun perSecond(
        model: String,
        nowMs: Long,
    ): Double? = fresh(model, nowMs).takeIf { it.isNotEmpty() }?.sumOf { it.perSecond }

    /** Returns how long requests for [model] take by what the gateways tell; null where none has told of it lately. */
    fun answerMs(
        model: String,
        nowMs: Long,
    ): Long? =
        fresh(model, nowMs)
            .map { it.answerMs }
            .filter { it > 0 }
            .takeIf { it.isNotEmpty() }
            ?.average()
            ?.toLong()

    private fun fresh(
        model: String,
        nowMs: Long,
    ) = byModel[model]?.values.orEmpty().filter { nowMs - it.atMs <= FORGET_MS }

    private companion object {
        /** Gateways with callers tell every 500 ms. */
        const val FORGET_MS = 3_000L
    }
}
