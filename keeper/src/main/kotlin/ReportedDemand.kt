package org.almondjunction.keeper

/** Demand for models as reported by gateways; stale reports and those of disconnected gateways do not count. */
internal class ReportedDemand {
    private class Report(
        val demand: Demand,
        val receivedMs: Long,
    )

    private val byModel = mutableMapOf<String, MutableMap<String, Report>>()

    fun record(
        gateway: String,
        demand: Demand,
        nowMs: Long,
    ) {
        byModel.getOrPut(demand.model) { mutableMapOf() }[gateway] = Report(demand, nowMs)
    }

    fun removeGateway(gateway: String): Unit = byModel.values.forEach { it -= gateway }

    /** Returns the total demand of all gateways, in requests per second; null when there is no recent report. */
    fun perSecond(
        model: String,
        nowMs: Long,
    ): Double? = current(model, nowMs).takeIf { it.isNotEmpty() }?.sumOf { it.requestsPerSecond.toDouble() }

    /** Returns the mean reported duration of requests for [model]; null when no recent report states one. */
    fun answerMs(
        model: String,
        nowMs: Long,
    ): Long? {
        val durationsMs = current(model, nowMs).map { it.answerMs }.filter { it > 0 }
        return if (durationsMs.isEmpty()) null else durationsMs.average().toLong()
    }

    private fun current(
        model: String,
        nowMs: Long,
    ): List<Demand> =
        byModel[model]
            ?.values
            .orEmpty()
            .filter { nowMs - it.receivedMs <= REPORT_EXPIRY_MS }
            .map { it.demand }

    private companion object {
        /** Gateways with callers report every 500 ms. */
        const val REPORT_EXPIRY_MS = 3_000L
    }
}
