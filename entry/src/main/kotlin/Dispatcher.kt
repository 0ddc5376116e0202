package org.almondjunction.entry

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import org.almondjunction.common.Clock
import org.almondjunction.common.Distance
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.common.ModelId
import org.almondjunction.common.Outcome
import org.almondjunction.common.RefusalReason
import org.almondjunction.common.RequestId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.decisions.Backoff
import org.almondjunction.decisions.Candidate
import org.almondjunction.decisions.ClusterView
import org.almondjunction.decisions.PLAIN_SERVICE
import org.almondjunction.decisions.PlacedTarget
import org.almondjunction.decisions.RequestEvent
import org.almondjunction.decisions.RequestMachine
import org.almondjunction.decisions.RequestStep
import org.almondjunction.decisions.Router
import org.almondjunction.decisions.TargetKind
import org.almondjunction.protocol.Work
import kotlin.random.Random

/** Final handler of a request: selects its targets, sends the request and forwards the answer. */
internal class Dispatcher(
    private val settings: EntrySettings,
    private val holder: StateHolder,
    private val links: TargetLinks,
    private val drain: DrainState,
    private val clock: Clock,
    private val metrics: Metrics,
) {
    private class Plan(
        val candidates: List<PlacedTarget>,
        val work: Work,
        val model: ModelId,
        val priority: Int,
        val repeatable: Boolean,
    )

    suspend fun dispatch(
        exchange: Exchange,
        answer: AnswerWriter,
    ): Outcome {
        val backoff = Backoff(initialMs = 100, maximumMs = 1_000, random = Random.Default)
        val endMs = minOf(clock.nowMs() + RETRY_TIMEOUT_MS, exchange.deadlineMs - WITHDRAW_MARGIN_MS)
        var round = 1
        while (true) {
            // Each round uses its own request id, since a target never runs an id that it has refused.
            val outcome = runRound(if (round == 1) exchange else exchange.copy(id = RequestId("${exchange.id}.$round")), answer)
            if (outcome !is Outcome.NotRun || !outcome.reason.transient) return outcome
            val delayMs = MINIMUM_RETRY_DELAY_MS + backoff.nextDelayMs()
            if (clock.nowMs() + delayMs >= endMs) return outcome
            metrics.count(MetricName.RETRIES, "round-${outcome.reason.code}")
            drain.runUntilEnd { delay(delayMs) } ?: return outcome
            round++
        }
    }

    private suspend fun runRound(
        exchange: Exchange,
        answer: AnswerWriter,
    ): Outcome {
        val view = holder.view
        val plan =
            when (val target = exchange.target) {
                is RequestTarget.Model ->
                    planModel(exchange, target, view)
                        ?: return Outcome.NotRun(RefusalReason.MODEL_NOT_OFFERED, target.name)
                is RequestTarget.Service ->
                    planService(exchange, target, view)
                        ?: return Outcome.NotRun(RefusalReason.SERVICE_NOT_OFFERED, target.name)
            }
        return run(exchange, plan, answer)
    }

    private fun planModel(
        exchange: Exchange,
        target: RequestTarget.Model,
        view: ClusterView,
    ): Plan? {
        val offered = view.catalogue.resolve(target.name)?.takeIf { it.offer.replicas > 0 } ?: return null
        val offer = offered.offer
        val placed =
            view.validRights(offer.model).mapNotNull { right ->
                view.fleet.targets[right.target]?.takeUnless { it.leaving }?.let {
                    right.rank to
                        it
                }
            }
        return Plan(
            candidates = order(placed, offer.model, exchange),
            work = Work.Completion(exchange.path, offer.model, offered.adapter?.adapter, exchange.body),
            model = offer.model,
            priority = exchange.priority ?: offer.priority,
            repeatable = true,
        )
    }

    private fun planService(
        exchange: Exchange,
        target: RequestTarget.Service,
        view: ClusterView,
    ): Plan? {
        val targets =
            view.fleet.byService[ServiceId(target.name)]
                .orEmpty()
                .filter { it.record.kind == TargetKind.PLAIN }
        if (targets.isEmpty()) return null
        return Plan(
            candidates = order(targets.filterNot { it.leaving }.map { 0 to it }, PLAIN_SERVICE.model, exchange),
            work = exchange.plainCall(),
            model = PLAIN_SERVICE.model,
            priority = exchange.priority ?: DEFAULT_PRIORITY,
            repeatable = exchange.method in REPEATABLE_METHODS,
        )
    }

    private fun order(
        ranked: List<Pair<Int, PlacedTarget>>,
        model: ModelId,
        exchange: Exchange,
    ): List<PlacedTarget> {
        val byTarget = ranked.associate { (_, target) -> target.record.target to target }
        val candidates =
            ranked.map { (rank, target) ->
                Candidate(
                    target = target.record.target,
                    location = target.location,
                    rank = rank,
                    warm = model == PLAIN_SERVICE.model || links.isWarm(target.record.target, model) == true,
                    outstanding = links.outstanding(target.record.target),
                    suspect = links.isSuspect(target.record.target),
                )
            }
        val crossRegion = exchange.deadlineMs - clock.nowMs() >= settings.crossRegionMinimumMs
        val prefix = exchange.body.decodeToString(endIndex = minOf(exchange.body.size, AFFINITY_PREFIX_BYTES))
        return Router.order(candidates, settings.location, prefix, crossRegion).map { byTarget.getValue(it.target) }
    }

    private suspend fun run(
        exchange: Exchange,
        plan: Plan,
        answer: AnswerWriter,
    ): Outcome {
        val byTarget = plan.candidates.associateBy { it.record.target }
        val machine =
            RequestMachine(
                candidates = plan.candidates.map { it.record.target },
                repeatable = plan.repeatable,
                retryPermitted = { links.retryBudget(it).withdraw() },
            )
        var step = machine.start()
        while (true) {
            step =
                when (val current = step) {
                    is RequestStep.Send -> {
                        recordSend(exchange, current)
                        machine.next(attempt(exchange, plan, byTarget.getValue(current.target), machine, answer))
                    }
                    is RequestStep.Conclude -> return current.outcome
                    RequestStep.Wait, RequestStep.Withdraw -> error("The machine returned $current although no attempt is in progress.")
                }
        }
    }

    private fun recordSend(
        exchange: Exchange,
        step: RequestStep.Send,
    ) {
        val reason = step.retryReason
        if (reason == null) {
            links.retryBudget(step.target).deposit()
        } else {
            metrics.count(MetricName.RETRIES, reason)
            EventLog.info("request retried", LogFields(exchange.id, step.target, reason = reason))
        }
    }

    /** Makes one attempt and returns the event that ended it. */
    private suspend fun attempt(
        exchange: Exchange,
        plan: Plan,
        target: PlacedTarget,
        machine: RequestMachine,
        answer: AnswerWriter,
    ): RequestEvent {
        if (drain.endRequested.isCompleted) return RequestEvent.GivenUp
        val link = links.link(target)
        val startedMs = clock.nowMs()
        val call = link.start(exchange.id, plan.work, exchange.deadlineMs - startedMs, plan.priority)
        if (call == null) {
            links.markUnreachable(target.record.target)
            return RequestEvent.NotSent
        }
        var concluded = false
        try {
            val event = receive(exchange, plan, target, link, call, machine, answer)
            concluded = event != RequestEvent.DeadlinePassed && event != RequestEvent.Interrupted
            return event
        } finally {
            withContext(NonCancellable) { link.finish(call, concluded) }
        }
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun receive(
        exchange: Exchange,
        plan: Plan,
        target: PlacedTarget,
        link: TargetLink,
        call: TargetCall,
        machine: RequestMachine,
        answer: AnswerWriter,
    ): RequestEvent {
        val crossRegion = settings.location.distanceTo(target.location) == Distance.OTHER_REGION
        if (crossRegion) metrics.count(MetricName.CROSS_REGION_BYTES, "request", exchange.body.size.toDouble())
        var withdrawing = false
        var endMs = exchange.deadlineMs - WITHDRAW_MARGIN_MS
        var forwardedBytes = 0L
        var acknowledgedBytes = 0L
        while (true) {
            val limitMs = (endMs - clock.nowMs()).coerceAtLeast(1)
            val event =
                select<CallEvent?> {
                    call.events.onReceive { it }
                    if (!withdrawing) drain.endRequested.onAwait { null }
                    onTimeout(limitMs) { null }
                }
            when (event) {
                is CallEvent.Head -> {
                    links.markWarm(target.record.target, plan.model, event.status < FIRST_ERROR_STATUS)
                    links.markReachable(target.record.target)
                    machine.next(RequestEvent.Progress)
                    answer.head(event.status, event.contentType)
                }
                is CallEvent.Bytes -> {
                    if (crossRegion) metrics.count(MetricName.CROSS_REGION_BYTES, "answer", event.bytes.size.toDouble())
                    answer.write(event.bytes)
                    forwardedBytes += event.bytes.size
                    if (forwardedBytes - acknowledgedBytes >= ACKNOWLEDGEMENT_INTERVAL_BYTES) {
                        link.acknowledge(call, forwardedBytes)
                        acknowledgedBytes = forwardedBytes
                    }
                }
                CallEvent.Completed -> return RequestEvent.Completed
                is CallEvent.Refused -> return refusal(event, withdrawing, target.record.target, plan.model)
                is CallEvent.Failed -> return RequestEvent.Failed(event.reason)
                CallEvent.Lost -> return RequestEvent.Lost.also { links.markUnreachable(target.record.target) }
                CallEvent.Running -> Unit
                null -> {
                    if (withdrawing) return if (drain.endRequested.isCompleted) RequestEvent.Interrupted else RequestEvent.DeadlinePassed
                    withdrawing = true
                    endMs = minOf(exchange.deadlineMs, clock.nowMs() + WITHDRAW_MARGIN_MS)
                    if (machine.next(RequestEvent.DeadlineNear) == RequestStep.Withdraw) link.withdraw(call)
                }
            }
        }
    }

    private fun refusal(
        event: CallEvent.Refused,
        withdrawing: Boolean,
        target: TargetId,
        model: ModelId,
    ): RequestEvent {
        links.markWarm(target, model, false)
        if (event.reason == RefusalReason.LEAVING) links.markUnreachable(target)
        if (drain.endRequested.isCompleted) return RequestEvent.GivenUp
        return RequestEvent.Refused(if (withdrawing) RefusalReason.DEADLINE_PASSED else event.reason)
    }

    private companion object {
        /** Margin before the end of a request, at its deadline or at a stop of this process, for withdrawing it if it has not started. */
        const val WITHDRAW_MARGIN_MS = 300L

        /** Time limit for retries while every target refuses the request for a transient reason. */
        const val RETRY_TIMEOUT_MS = 15_000L
        const val MINIMUM_RETRY_DELAY_MS = 50L
        const val ACKNOWLEDGEMENT_INTERVAL_BYTES = 64 * 1024
        const val DEFAULT_PRIORITY = 5
        const val AFFINITY_PREFIX_BYTES = 256
        const val FIRST_ERROR_STATUS = 400
        val REPEATABLE_METHODS = setOf("GET", "HEAD", "OPTIONS")
    }
}
