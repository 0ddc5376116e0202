package org.almondjunction.entry

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import org.almondjunction.common.Clock
import org.almondjunction.common.Metrics
import org.almondjunction.common.ModelId
import org.almondjunction.common.TargetId
import org.almondjunction.decisions.PlacedTarget
import org.almondjunction.decisions.RetryBudget
import java.util.concurrent.ConcurrentHashMap

/** The links of this entry host, with what it has observed of each target: whether a model is loaded and whether it can be reached. */
internal class TargetLinks(
    private val settings: EntrySettings,
    private val selector: SelectorManager,
    private val clock: Clock,
    private val metrics: Metrics,
    private val scope: CoroutineScope,
) {
    private val links = ConcurrentHashMap<TargetId, TargetLink>()
    private val retryBudgets = ConcurrentHashMap<TargetId, RetryBudget>()
    private val warm = ConcurrentHashMap<Pair<TargetId, ModelId>, Boolean>()
    private val suspectUntilMs = ConcurrentHashMap<TargetId, Long>()

    fun link(target: PlacedTarget): TargetLink =
        links.computeIfAbsent(
            target.record.target,
        ) { TargetLink(settings.host.value, target.record.agent, selector, clock, metrics, scope) }

    fun retryBudget(target: TargetId): RetryBudget = retryBudgets.computeIfAbsent(target) { RetryBudget() }

    fun outstanding(target: TargetId): Int = links[target]?.outstanding ?: 0

    /** Whether [model] is loaded at [target] according to its last answer or refusal; null before the first one. */
    fun isWarm(
        target: TargetId,
        model: ModelId,
    ): Boolean? = warm[target to model]

    fun markWarm(
        target: TargetId,
        model: ModelId,
        value: Boolean,
    ) {
        warm[target to model] = value
    }

    fun isSuspect(target: TargetId): Boolean = (suspectUntilMs[target] ?: 0) > clock.nowMs()

    fun markUnreachable(target: TargetId) {
        suspectUntilMs[target] = clock.nowMs() + SUSPECT_PERIOD_MS
    }

    fun markReachable(target: TargetId) {
        suspectUntilMs.remove(target)
    }

    private companion object {
        const val SUSPECT_PERIOD_MS = 2_000L
    }
}
