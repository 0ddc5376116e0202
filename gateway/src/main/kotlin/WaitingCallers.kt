package org.almondjunction.gateway

import org.almondjunction.decisions.LoadValue

/** Callers of this gateway that wait for a model or an adapter of it. */
internal class WaitingCallers {
    private val objectivesMs = mutableMapOf<String, MutableList<Long>>()

    /** Counts a caller that is served in time if its answer begins until [objectiveMs]. */
    fun enter(
        model: String,
        objectiveMs: Long,
    ) {
        objectivesMs.getOrPut(model) { mutableListOf() } += objectiveMs
    }

    fun leave(
        model: String,
        objectiveMs: Long,
    ) {
        val waiting = objectivesMs[model] ?: return
        waiting -= objectiveMs
        if (waiting.isEmpty()) objectivesMs -= model
    }

    /** Returns the callers that wait for [model], weighed by whether an answer that begins at [expectedMs] is in time. */
    fun weight(
        model: String,
        expectedMs: Long,
    ): Double = objectivesMs[model].orEmpty().sumOf { LoadValue.callerWeight(inTime = expectedMs <= it) }
}
