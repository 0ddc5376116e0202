package org.almondjunction.keeper

import org.almondjunction.decisions.DecayingRate

/** Recent uses of the models and adapters of one engine, as reported by its gateways. */
internal class UsageStatistics {
    private class Entry {
        val rate = DecayingRate(RATE_TIME_CONSTANT_MS)
        var lastUseMs: Long? = null
        val inFlight = mutableMapOf<String, Int>()
    }

    private val entries = mutableMapOf<Pair<String, String?>, Entry>()

    fun record(
        gateway: String,
        uses: List<Use>,
        nowMs: Long,
    ) {
        uses.forEach { use ->
            val entry = entries.getOrPut(use.model to use.adapter) { Entry() }
            entry.rate.add(use.count, nowMs)
            if (use.count > 0 || use.inFlight > 0) entry.lastUseMs = nowMs
            if (use.inFlight > 0) entry.inFlight[gateway] = use.inFlight else entry.inFlight.remove(gateway)
        }
    }

    /** Counts [model] with [adapter] as used now although no request has arrived yet, because it was loaded for pending requests. */
    fun touch(
        model: String,
        adapter: String?,
        nowMs: Long,
    ) {
        entries.getOrPut(model to adapter) { Entry() }.lastUseMs = nowMs
    }

    fun removeGateway(gateway: String): Unit = entries.values.forEach { it.inFlight.remove(gateway) }

    fun ratePerSecond(
        model: String,
        adapter: String?,
        nowMs: Long,
    ): Double = entries[model to adapter]?.rate?.perSecond(nowMs) ?: 0.0

    fun idleMs(
        model: String,
        adapter: String?,
        nowMs: Long,
    ): Long = entries[model to adapter]?.lastUseMs?.let { nowMs - it } ?: NEVER_USED_IDLE_MS

    fun inFlight(
        model: String,
        adapter: String?,
    ): Int = entries[model to adapter]?.inFlight?.values?.sum() ?: 0

    private companion object {
        /** Time constant of the usage rate; a few times the interval between requests for a rarely used model. */
        const val RATE_TIME_CONSTANT_MS = 10_000.0

        /** Idle time reported for a model or adapter that was never used; one hour. */
        const val NEVER_USED_IDLE_MS = 3_600_000L
    }
}
