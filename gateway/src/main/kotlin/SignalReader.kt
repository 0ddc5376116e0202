package org.almondjunction.gateway

import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.decisions.EngineSignal
import org.almondjunction.network.HttpHeaders
import org.almondjunction.network.ResponseHead

/** Reads from every answer of a target whether it is shutting down or wants no requests for some time. */
internal class SignalReader(
    private val clock: Clock,
    private val state: GatewayState,
    private val names: HeaderNames,
    private val metrics: Metrics,
) {
    /** Takes up what [head], an answer of [target], says about it; an answer of another target at its address says nothing about it. */
    fun read(
        target: Target,
        head: ResponseHead,
    ) {
        val entry = target.entry
        if (head.headers[names.answeringTarget]?.let { it != entry.target.value } == true) return
        val leaving = head.headers.all(names.serverLeaving)
        val retryAfter = head.headers.all(names.retryAfter)
        val changes = state.signals.receive(entry.target, entry.startedMs, head.status, leaving, retryAfter, clock.nowMs())
        changes.forEach { record(target, it) }
        if (changes.isNotEmpty()) state.changed.raise()
    }

    private fun record(
        target: Target,
        signal: EngineSignal,
    ) {
        val (label, message, detail) =
            when (signal) {
                EngineSignal.Leaving -> Triple("leaving", "target is leaving", null)
                is EngineSignal.Wait -> Triple("wait", "target asked for a time without requests", "waitMs" to "${signal.waitMs}")
                is EngineSignal.Ignored -> Triple("ignored", "time without requests ignored", "value" to signal.value.take(MAXIMUM_LOGGED))
            }
        metrics.count(MetricName.TARGET_SIGNALS, label)
        EventLog.info(message, LogFields(target = target.entry.target, extra = listOfNotNull(detail).toMap()))
    }

    /** Whether [target] may receive a request now. */
    fun accepts(target: Target): Boolean = state.signals.accepts(target.entry.target, target.entry.startedMs, clock.nowMs())

    /** Returns [head] without the headers that are meant for this gateway and not for its callers. */
    fun withoutSignals(head: ResponseHead): ResponseHead {
        val signals = setOf(names.serverLeaving.lowercase(), names.retryAfter.lowercase())
        if (head.headers.lines.none { it.name.lowercase() in signals }) return head
        return head.copy(headers = HttpHeaders(head.headers.lines.filterNot { it.name.lowercase() in signals }))
    }

    private companion object {
        /** Characters of a faulty value that are logged. */
        const val MAXIMUM_LOGGED = 40
    }
}
