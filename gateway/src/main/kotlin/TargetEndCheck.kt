package org.almondjunction.gateway

import org.almondjunction.common.Clock

/** Finds out whether a target that broke off a request at its beginning has ended, from what its keeper reports. */
internal class TargetEndCheck(
    private val clock: Clock,
    private val state: GatewayState,
) {
    /** A request that [target] broke off, and the [number] of the report to its keeper; null if the keeper was not connected. */
    class BrokenRequest(
        val target: Target,
        val number: Int?,
    )

    /** Returns the part by which to confine the next attempt of [context] if the target has ended; null if it runs or that is not known. */
    suspend fun confinedPart(
        context: ForwardingContext,
        broken: BrokenRequest,
    ): Long? {
        val target = broken.target
        val untilMs = clock.nowMs() + minOf(END_DETECTION_MS, context.callerPatienceMs / PATIENCE_DIVISOR)
        while (true) {
            val seen = state.changed.count
            val part = state.crashes.lastSuspect(context.request) ?: return null
            if (hasEnded(target)) return part
            val settledReports = target.status?.settledReports ?: return null
            val leftMs = untilMs - clock.nowMs()
            if (broken.number == null || settledReports >= broken.number || leftMs <= 0) return null
            state.changed.await(seen, minOf(leftMs, CHECK_INTERVAL_MS))
        }
    }

    private fun hasEnded(target: Target): Boolean =
        target.closed || !target.answering || state.crashes.hasEnded(target.entry.address.ip, target.entry.startedMs)

    companion object {
        /** Time within which a keeper detects the end of its engine and reports it. */
        const val END_DETECTION_MS = 1_500L

        /** A complete answer that clears the parts of the request is not signalled. */
        private const val CHECK_INTERVAL_MS = 50L

        /** Half of the time that a caller still waits is left for the second attempt. */
        private const val PATIENCE_DIVISOR = 2
    }
}
