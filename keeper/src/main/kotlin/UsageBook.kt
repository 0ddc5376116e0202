package org.almondjunction.keeper

import org.almondjunction.decisions.DecayingRate

/** Recent uses of the models and adapters of one engine, as its gateways tell them. */
internal class UsageBook {
    private class Entry {
        val rate = DecayingRate(MEMORY_MS)
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

    /** Counts [model] with [adapter] as used now, though no request has come yet: it was loaded for some. */
    fun touch(
        model: String,
        adapter: String?,
        nowMs: Long,
    ) {
        entries.getOrPut(model to adapter) { Entry() }.lastUseMs = nowMs
    }

    fun forget(gateway: String): Unit = entries.values.forEach { it.inFlight.remove(gateway) }

    fun ratePerSecond(
        model: String,
        adapter: String?,
        nowMs: Long,
    ): Double = entries[model to adapter]?.rate?.perSecond(nowMs) ?: 0.0

    fun idleMs(
        model: String,
        adapter: String?,
        nowMs: Long,
    ): Long = entries[model to adapter]?.lastUseMs?.let { nowMs - it } ?: NEVER_MS

    fun inFlight(
        model: String,
        adapter: String?,
    ): Int = entries[model to adapter]?.inFlight?.values?.sum() ?: 0

    private companion object {
        /** Uses count for about this long; a few gaps between requests of a rare model at the users' sheets. */
        const val MEMORY_MS = 10_000.0

        /** Idle time of what was never used; one hour. */
        const val NEVER_MS = 3_600_000L
    }
}
