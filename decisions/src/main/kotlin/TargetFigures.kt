package org.almondjunction.decisions

import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId

/**
 * A figure of each target, learned from its answers.
 *
 * A target that is like the others of its service, or of which little is known, has the figure of the service; that is [prior] until
 * anything is known.
 */
internal class TargetFigures(
    private val prior: Double,
) {
    private val services = RecentlyUsed<ServiceId, RecentMedian>(MOST_SERVICES)
    private val targets = RecentlyUsed<TargetId, RecentMedian>(MOST_TARGETS)

    fun record(
        service: ServiceId,
        target: TargetId,
        value: Double,
        weight: Double,
        nowMs: Long,
    ) {
        services.getOrPut(service) { RecentMedian() }.record(value, weight, nowMs)
        targets.getOrPut(target) { RecentMedian() }.record(value, weight, nowMs)
    }

    fun of(
        service: ServiceId,
        target: TargetId,
        nowMs: Long,
    ): Double {
        val usual = of(service, nowMs)
        val own = targets[target]?.value(nowMs) ?: return usual
        return if (own > usual * DIFFERENCE || own * DIFFERENCE < usual) own else usual
    }

    fun of(
        service: ServiceId,
        nowMs: Long,
    ): Double = services[service]?.value(nowMs) ?: prior

    private companion object {
        /** Medians of few answers differ by less than this factor between targets that are alike. */
        const val DIFFERENCE = 1.5

        /** Bounds on what is remembered; the least recently used are forgotten. */
        const val MOST_SERVICES = 256
        const val MOST_TARGETS = 16_384
    }
}
