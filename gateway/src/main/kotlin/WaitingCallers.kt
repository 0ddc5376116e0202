package org.almondjunction.gateway

import org.almondjunction.decisions.LoadValue

/** Callers of this gateway that wait for a model or one of its adapters to be loaded. */
internal class WaitingCallers {
    private val objectivesMs = mutableMapOf<String, MutableList<Long>>()

    /** Adds a caller whose latency objective is met if its response begins by [objectiveMs]. */
    fun add(
        model: String,
        objectiveMs: Long,
    ) {
        objectivesMs.getOrPut(model) { mutableListOf() } += objectiveMs
    }

    fun remove(
        model: String,
        objectiveMs: Long,
    ) {
        val waiting = objectivesMs[model] ?: return
        waiting -= objectiveMs
        if (waiting.isEmpty()) objectivesMs -= model
    }

    /** Returns the number of callers that wait for [model], weighted by whether a response that begins at [expectedMs] is in time. */
    fun weight(
        model: String,
        expectedMs: Long,
    ): Double = objectivesMs[model].orEmpty().sumOf { LoadValue.callerWeight(inTime = expectedMs <= it) }
}
