package org.almondjunction.decisions

import kotlin.math.exp

/** Recent arrivals of requests for each model, whether they were served, waited or were refused. */
public class DemandBook {
    private class Entry(
        var perSecond: Double,
        var updatedMs: Long,
    )

    private val entries = mutableMapOf<String, Entry>()

    /** Notes a request for [model]. */
    public fun arrive(
        model: String,
        nowMs: Long,
    ) {
        if (entries.size >= MOST_MODELS && model !in entries) forgetRarest(nowMs)
        val entry = entries.getOrPut(model) { Entry(0.0, nowMs) }
        entry.perSecond = decayed(entry, nowMs) + MILLISECONDS_PER_SECOND / MEMORY_MS
        entry.updatedMs = nowMs
    }

    /** Returns the recent arrivals for [model] in a second. */
    public fun perSecond(
        model: String,
        nowMs: Long,
    ): Double = entries[model]?.let { decayed(it, nowMs) } ?: 0.0

    private fun decayed(
        entry: Entry,
        nowMs: Long,
    ) = entry.perSecond * exp(-(nowMs - entry.updatedMs) / MEMORY_MS)

    private fun forgetRarest(nowMs: Long) {
        entries.minByOrNull { decayed(it.value, nowMs) }?.let { entries -= it.key }
    }

    private companion object {
        /** Arrivals count for about this long: a gap between requests for a rare model, and less than demand takes to move on. */
        const val MEMORY_MS = 3_000.0
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Bound on the models that are remembered, whatever names callers send. */
        const val MOST_MODELS = 4_096
    }
}
