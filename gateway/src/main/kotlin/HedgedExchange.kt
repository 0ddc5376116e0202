package org.almondjunction.gateway

import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Clock
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.decisions.ForwardingStep
import org.almondjunction.decisions.HedgeDecision
import org.almondjunction.decisions.HedgePolicy
import org.almondjunction.decisions.HedgeSituation
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.decisions.SharedRetryBudget

/**
 * Sends requests, and sends slow ones a second time to another target if [policy] allows it.
 *
 * Requests for complete answers run at both targets until one answers. Streams are moved before their first event instead: the first send
 * is cancelled before the second begins.
 */
internal class HedgedExchange(
    private val clock: Clock,
    private val selector: TargetSelector,
    private val registry: TargetRegistry,
    private val state: GatewayState,
    private val policy: HedgePolicy,
    private val retryBudget: SharedRetryBudget,
    private val metrics: Metrics,
) {
    /** Sends a request to [first] with [send], if need be to a second target; returns the next step, or null if none is left. */
    suspend fun run(
        context: ForwardingContext,
        first: Target,
        send: suspend (Target) -> ForwardingStep?,
    ): ForwardingStep? {
        if (context.sends == 0) policy.recordFirstSend(clock.nowMs())
        if (!mayHedge(context)) return send(first)
        val delayMs = policy.delayMs(context.request.route.name) ?: return send(first)
        return coroutineScope {
            val startedMs = clock.nowMs()
            val attempt = async(start = CoroutineStart.UNDISPATCHED) { send(first) }
            withTimeoutOrNull(delayMs) { attempt.join() }
            val second = if (attempt.isCompleted || !mayHedge(context)) null else secondTarget(context, startedMs)
            when {
                second == null -> attempt.await()
                context.request.route.streaming -> move(context, attempt, startedMs) { send(second) }
                else -> race(context, attempt, async(start = CoroutineStart.UNDISPATCHED) { send(second) }, startedMs)
            }
        }
    }

    /** Records how long an attempt took until its answer or first event. */
    fun recordDuration(
        context: ForwardingContext,
        inFlight: InFlightRequest,
    ): Unit = policy.recordDuration(context.request.route.name, clock.nowMs() - inFlight.startedMs)

    /** Ends the other attempt, if there is one, because [target] has answered completely on [exchange]. */
    fun recordComplete(
        context: ForwardingContext,
        target: Target,
        exchange: Exchange,
    ) {
        context.abandonExchanges(kept = exchange)
        context.lastTarget = target
    }

    /** Whether the kind of request permits a second send, and no part of the answer has arrived. */
    private fun mayHedge(context: ForwardingContext): Boolean {
        if (policy.share <= 0.0 || context.admission != CrashTracker.Admission.Admitted || context.answer.begun) return false
        val route = context.request.route
        return when (route.retryKind) {
            RetrySafety.ONCE -> false
            RetrySafety.IDEMPOTENT -> !route.streaming
            RetrySafety.RESUMABLE -> route.streaming && context.firstPartMs == null
        }
    }

    private fun secondTarget(
        context: ForwardingContext,
        startedMs: Long,
    ): Target? {
        val request = context.request
        val nowMs = clock.nowMs()
        val ready = registry.ready(request.service)
        val other = selector.chooseFree(request, context.tried.keys, context.streamVersion)
        val situation =
            HedgeSituation(
                runsLeft = request.route.maximumTargets - context.runs - 1,
                timeLeftMs = context.timeLeftMs,
                suspect = state.crashes.isSuspect(request),
                elapsedMs = nowMs - startedMs,
                expectedMs = other?.expectedMs,
                targets = registry.running(request.service).size,
                freeTargets = ready.count { it.free },
            )
        return when (val decision = policy.decide(situation, nowMs) { retryBudget.tryRetry(nowMs, registry.gateways.size) }) {
            HedgeDecision.Send -> other?.target
            is HedgeDecision.Withhold -> {
                metrics.count(MetricName.HEDGES_WITHHELD, decision.reason.label)
                null
            }
        }
    }

    /** Awaits the first complete answer of two attempts; a failed attempt is no result while the other is running. */
    private suspend fun race(
        context: ForwardingContext,
        first: Deferred<ForwardingStep?>,
        second: Deferred<ForwardingStep?>,
        startedMs: Long,
    ): ForwardingStep? {
        metrics.count(MetricName.HEDGED_SENDS, RACED)
        context.hedged = RACED
        val running = mutableSetOf(first, second)
        while (true) {
            val ended = select { running.forEach { attempt -> attempt.onJoin { attempt } } }
            running -= ended
            // An abandoned attempt ends together with the one that has won.
            if (ended.isCancelled) continue
            val step = ended.await()
            if (step == ForwardingStep.AwaitOther) continue
            if (step == null && ended === second) {
                recordWon(context, RACED)
                // A first attempt that failed earlier has ended without being cancelled.
                if (first in running || first.isCancelled) recordSlow(context, startedMs, clock.nowMs())
            }
            return step
        }
    }

    /** Cancels the [first] attempt of a stream without events, and then sends the request with [send] to another target. */
    private suspend fun move(
        context: ForwardingContext,
        first: Deferred<ForwardingStep?>,
        startedMs: Long,
        send: suspend () -> ForwardingStep?,
    ): ForwardingStep? {
        val mayHaveRun = context.exchange?.mayHaveArrived == true
        context.abandonExchanges()
        first.join()
        if (mayHaveRun) {
            context.mayHaveRun = true
            context.runs++
        }
        context.events.discardIncompleteEvent()
        metrics.count(MetricName.HEDGED_SENDS, MOVED)
        context.hedged = MOVED
        val step = send()
        context.firstPartMs?.let {
            recordWon(context, MOVED)
            recordSlow(context, startedMs, context.request.arrivedMs + it)
        }
        return step
    }

    private fun recordWon(
        context: ForwardingContext,
        kind: String,
    ) {
        metrics.count(MetricName.HEDGES_WON, kind)
        context.hedged = "$kind, won"
    }

    /**
     * Records a first attempt that was cancelled as if it had answered at [endedMs], when the second did.
     *
     * Without these samples, the delay would only count fast answers and shrink until the share is always spent.
     */
    private fun recordSlow(
        context: ForwardingContext,
        startedMs: Long,
        endedMs: Long,
    ): Unit = policy.recordDuration(context.request.route.name, endedMs - startedMs)

    private companion object {
        const val RACED = "raced"
        const val MOVED = "moved"
    }
}
