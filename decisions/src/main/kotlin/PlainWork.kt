package org.almondjunction.decisions

import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId

/** Learns from answers how long targets of plain services work on a request, in milliseconds. */
public class PlainWork {
    private val figures = TargetFigures(PRIOR_MS)

    /** Notes an answer of [target], which had a place free, [answerMs] after it was sent there, without the way there and back. */
    public fun record(
        service: ServiceId,
        target: TargetId,
        answerMs: Double,
        nowMs: Long,
    ): Unit = figures.record(service, target, answerMs.coerceAtLeast(SHORTEST_MS), 1.0, nowMs)

    /** Returns how long [target] works on a request, in milliseconds. */
    public fun requestMs(
        service: ServiceId,
        target: TargetId,
        nowMs: Long,
    ): Double = figures.of(service, target, nowMs)

    public companion object {
        /** Work assumed until answers tell, in milliseconds. */
        public const val PRIOR_MS: Double = 40.0

        /** Clocks count whole milliseconds. */
        private const val SHORTEST_MS = 1.0
    }
}
