package org.almondjunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Clock
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.decisions.ForwardingDecision
import org.almondjunction.decisions.ForwardingState
import org.almondjunction.decisions.ForwardingStep
import org.almondjunction.decisions.RepeatAllowance
import org.almondjunction.decisions.RepeatKind
import org.almondjunction.decisions.SendResult
import org.almondjunction.network.BodyPart
import org.almondjunction.network.HttpHeader
import org.almondjunction.network.WholeBody

/** Forwards requests to targets and relays the responses. */
internal class Forwarder(
    private val clock: Clock,
    private val selector: TargetSelector,
    private val fleet: Fleet,
    private val state: GatewayState,
    private val names: HeaderNames,
    private val allowance: RepeatAllowance,
    private val metrics: Metrics,
) {
    private val held = mutableSetOf<Attempt>()

    /** Serves [request]; returns when its response is complete or cannot be completed. */
    suspend fun forward(
        request: ForwardedRequest,
        answer: CallerAnswer,
    ) {
        val attempt = Attempt(request, answer, state.gathered.reserve(), clock)
        allowance.first(clock.nowMs())
        metrics.count(MetricName.REQUESTS)
        request.model?.let { state.demand.arrive(it, clock.nowMs()) }
        held += attempt
        try {
            val ended = withTimeoutOrNull(attempt.timeLeftMs.coerceAtLeast(0)) { attempt.runUntilDismissed { run(attempt) } }
            when (ended) {
                null -> timedOut(attempt)
                true -> Unit
                false -> giveUp(attempt, "the gateway goes before an answer came", RETRY_AT_ONCE_MS)
            }
        } finally {
            held -= attempt
            attempt.gathered.close()
            attempt.log(state.configuration?.version)
        }
    }

    /** Cancels every request whose response has not begun, so that its caller gets an error response before the process ends. */
    fun answerHeld(): Unit = held.filter { !it.answer.begun }.forEach { it.dismiss() }

    /** Cancels every active request and returns their number. */
    fun breakOffHeld(): Int = held.toList().onEach { it.dismiss() }.size

    private suspend fun timedOut(attempt: Attempt) {
        if (attempt.answer.begun) {
            attempt.outcome = "broken off at its time limit"
            return
        }
        if (attempt.sends > 0) respondUnknown(attempt, GATEWAY_TIMEOUT) else respondNotRun(attempt, null)
    }

    private suspend fun run(attempt: Attempt) {
        while (true) {
            val target = awaitTarget(attempt) ?: return
            val step = coroutineScope { sendTo(this, target, attempt) }
            when (step) {
                null -> return
                ForwardingStep.SendAgain -> metrics.count(MetricName.RETRIES, attempt.detail.take(MOST_REASON_CHARACTERS))
                ForwardingStep.AnswerNotRun -> return respondNotRun(attempt, RETRY_AFTER_REFUSAL_MS)
                ForwardingStep.AnswerUnknown -> return respondUnknown(attempt, BAD_GATEWAY)
                ForwardingStep.PassFailure -> return passFailure(attempt)
            }
        }
    }

    private suspend fun awaitTarget(attempt: Attempt): Target? {
        attempt.waits()
        val request = attempt.request
        val model = request.model ?: return findTarget(attempt)
        val objectiveMs = request.arrivedMs + request.route.latencyObjectiveMs
        state.waiting.enter(model, objectiveMs)
        try {
            return findTarget(attempt)
        } finally {
            state.waiting.leave(model, objectiveMs)
        }
    }

    private suspend fun findTarget(attempt: Attempt): Target? {
        val request = attempt.request
        while (true) {
            val seen = state.changed.count
            if (clock.nowMs() >= state.lastWordMs) {
                giveUp(attempt, "the gateway goes", RETRY_AT_ONCE_MS)
                return null
            }
            if (!attempt.answer.begun && !endsInTime(request)) {
                giveUp(attempt, "the gateway goes before the answer would end", RETRY_AT_ONCE_MS)
                return null
            }
            when (val choice = selector.choose(request, attempt.tried)) {
                is TargetSelector.Choice.Use -> return choice.target
                is TargetSelector.Choice.Later -> {
                    attempt.detail = "waits for weights"
                    if (choice.expectedMs > request.patienceEndMs - clock.nowMs() && !attempt.answer.begun) {
                        giveUp(attempt, "weights come too late", choice.expectedMs)
                        return null
                    }
                    state.changed.await(seen, LONGEST_WAIT_MS)
                }
                is TargetSelector.Choice.None -> {
                    val waitedMs = clock.nowMs() - request.arrivedMs
                    if (waitedMs >= minOf(request.route.latencyObjectiveMs / PATIENCE_DIVISOR, LONGEST_PATIENCE_MS)) {
                        giveUp(attempt, choice.reason, RETRY_AFTER_REFUSAL_MS)
                        return null
                    }
                    state.changed.await(seen, SHORT_WAIT_MS)
                }
            }
        }
    }

    /** Whether a response that begins now would be complete before this process ends. */
    private fun endsInTime(request: ForwardedRequest): Boolean {
        if (!state.leaving) return true
        val likelyMs = state.durations.likelyMs(request.route.name, request.answerTokens) ?: UNKNOWN_ANSWER_MS
        return clock.nowMs() + minOf(likelyMs, request.route.timeoutMs) < state.endMs
    }

    private suspend fun giveUp(
        attempt: Attempt,
        reason: String,
        retryAfterMs: Long,
    ) {
        attempt.detail = reason
        when {
            attempt.answer.begun -> breakOff(attempt)
            attempt.failure != null -> passFailure(attempt)
            attempt.mayHaveRun -> respondUnknown(attempt, BAD_GATEWAY)
            else -> respondNotRun(attempt, retryAfterMs)
        }
    }

    private suspend fun sendTo(
        scope: CoroutineScope,
        target: Target,
        attempt: Attempt,
    ): ForwardingStep? {
        val request = attempt.request
        val send = sendOf(request, target, attempt)
        val exchange = Exchange(scope, target, names)
        attempt.beginSend(exchange)
        send.leave = { exchange.close() }
        target.begin(send)
        attempt.tried[target] = clock.nowMs()
        attempt.lastTarget = target
        attempt.sends++
        try {
            target.prompts.add(request.weights, request.parts)
            val younger = if (request.route.repeat == RepeatKind.ONCE) KEPT_FOR_ONCE_MS else KEPT_MS
            val answer = exchange.send(request, headersFor(target, attempt), younger, attempt.timeLeftMs)
            return when (answer) {
                is SendAnswer.Unserved -> unserved(target, exchange, attempt, answer)
                is SendAnswer.Answered -> answered(target, exchange, attempt, answer, send)
            }
        } finally {
            attempt.endSend()
            exchange.close()
            target.end(send)
        }
    }

    private fun sendOf(
        request: ForwardedRequest,
        target: Target,
        attempt: Attempt,
    ) = Send(
        model = request.model,
        adapter = request.adapter,
        promptTokens = target.unreadTokens(request),
        repeatable = request.route.repeat != RepeatKind.ONCE,
        patienceMs = request.route.callerPatienceMs,
        lastSignMs = attempt.lastSignMs,
    )

    private fun headersFor(
        target: Target,
        attempt: Attempt,
    ): List<HttpHeader> {
        val request = attempt.request
        val own = request.head.headers
        val headers =
            own
                .endToEnd()
                .filter { header ->
                    val name = header.name.lowercase()
                    name !in names.reserved &&
                        name != names.deadlineMs.lowercase() &&
                        (attempt.events.lastEvent == null || name != names.lastEvent.lowercase())
                }.toMutableList()
        headers += HttpHeader(names.deadlineMs, attempt.timeLeftMs.coerceAtLeast(1).toString())
        headers += HttpHeader(names.targetIdentity, target.entry.target.value)
        if (request.route.streaming) {
            headers +=
                HttpHeader(
                    names.urgency,
                    request.route.priority
                        .coerceIn(0, LOWEST_URGENCY)
                        .toString(),
                )
        }
        attempt.events.lastEvent?.let { headers += HttpHeader(names.lastEvent, it) }
        val framed = request.body.isNotEmpty() || own["Content-Length"] != null || own["Transfer-Encoding"] != null
        if (framed) headers += HttpHeader("Content-Length", request.body.size.toString())
        return headers
    }

    private suspend fun unserved(
        target: Target,
        exchange: Exchange,
        attempt: Attempt,
        answer: SendAnswer.Unserved,
    ): ForwardingStep {
        attempt.detail = answer.detail
        target.weigh(failed = true)
        if (answer.result is SendResult.Refused) exchange.finish(bodyRead = false) else exchange.close()
        return decide(attempt, answer.result)
    }

    private fun decide(
        attempt: Attempt,
        result: SendResult,
    ): ForwardingStep {
        if (result.knownNotRun) attempt.refusals++ else attempt.runs++
        val forwarding =
            ForwardingState(
                kind = attempt.request.route.repeat,
                mayHaveRun = attempt.mayHaveRun,
                runsLeft = attempt.request.route.maximumTargets - attempt.runs,
                refusalsLeft = MOST_REFUSALS - attempt.refusals,
                timeLeftMs = attempt.timeLeftMs,
            )
        if (!result.knownNotRun) attempt.mayHaveRun = true
        return ForwardingDecision.after(forwarding, result) { allowance.tryRepeat(clock.nowMs(), fleet.gateways.size) }
    }

    private suspend fun answered(
        target: Target,
        exchange: Exchange,
        attempt: Attempt,
        answer: SendAnswer.Answered,
        send: Send,
    ): ForwardingStep? {
        val succeeded = answer.head.status in SUCCESS
        if (succeeded && attempt.request.route.streaming) return relay(target, exchange, attempt, answer, send)
        if (attempt.answer.begun) {
            attempt.detail = "status ${answer.head.status} instead of the rest of a stream"
            target.weigh(failed = true)
            return decide(attempt, SendResult.Lost).brokenOff(attempt)
        }
        val body = answer.body.whole(MAXIMUM_ANSWER_BYTES, attempt.gathered)
        if (body !is WholeBody.Read) {
            attempt.detail = unusable(body)
            target.weigh(failed = true)
            return decide(attempt, SendResult.Lost)
        }
        exchange.finish(bodyRead = true)
        val failed = answer.head.status >= FIRST_SERVER_ERROR
        target.weigh(failed)
        if (failed) {
            attempt.failure = answer
            attempt.failureBody = body.bytes
            attempt.detail = "status ${answer.head.status}"
            return decide(attempt, SendResult.Failed)
        }
        attempt.outcome = Attempt.SERVED
        attempt.detail = "status ${answer.head.status}"
        learnDuration(attempt)
        attempt.answer.pass(answer.head, body.bytes)
        return null
    }

    private fun unusable(body: WholeBody): String =
        when (body) {
            is WholeBody.Read -> "the answer cannot be handed on"
            WholeBody.TooLarge -> "the answer is too large"
            WholeBody.NoRoom -> "too many answers at once"
            is WholeBody.Broken -> "the answer broke off"
        }

    private suspend fun relay(
        target: Target,
        exchange: Exchange,
        attempt: Attempt,
        answer: SendAnswer.Answered,
        send: Send,
    ): ForwardingStep? {
        while (true) {
            val part = nextPart(attempt, answer, send)
            when (part) {
                is BodyPart.Data -> {
                    val whole = attempt.events.feed(part.bytes)
                    val room = attempt.gathered.hold(attempt.events.pendingBytes.toLong())
                    if (!room || attempt.events.pendingBytes > EventSplitter.MAXIMUM_EVENT_BYTES) {
                        return streamBroke(target, attempt, "an event does not end")
                    }
                    if (whole.isEmpty()) continue
                    target.heard()
                    send.answering = true
                    attempt.lastSignMs = clock.nowMs()
                    send.lastSignMs = attempt.lastSignMs
                    if (!attempt.answer.begun) {
                        val firstPartMs = attempt.lastSignMs - attempt.request.arrivedMs
                        metrics.record(MetricName.TIME_TO_FIRST_TOKEN, firstPartMs)
                        attempt.firstPartMs = firstPartMs
                        attempt.answer.begin(answer.head)
                    }
                    if (!attempt.answer.add(whole)) return null
                }
                BodyPart.Complete -> {
                    if (attempt.events.unfinished) return streamBroke(target, attempt, "the stream ended inside an event")
                    exchange.finish(bodyRead = true)
                    target.weigh(failed = false)
                    attempt.outcome = Attempt.SERVED
                    learnDuration(attempt)
                    send.model?.let { state.work.record(it, send.promptTokens, clock.nowMs() - send.beganMs) }
                    if (!attempt.answer.begun) attempt.answer.begin(answer.head)
                    attempt.answer.end()
                    return null
                }
                is BodyPart.Broken -> return streamBroke(target, attempt, part.detail)
            }
        }
    }

    private fun learnDuration(attempt: Attempt) {
        val request = attempt.request
        val wholeMs = clock.nowMs() - request.arrivedMs
        state.durations.record(request.route.name, attempt.firstPartMs ?: wholeMs, wholeMs, request.answerTokens)
    }

    /** Returns the next part. Only complete events extend the time limit, so that single bytes do not keep a stalled stream alive. */
    private suspend fun nextPart(
        attempt: Attempt,
        answer: SendAnswer.Answered,
        send: Send,
    ): BodyPart {
        val route = attempt.request.route
        val limitMs =
            if (send.answering && mayContinueElsewhere(attempt)) {
                maxOf(route.pauseObjectiveMs * SILENT_PAUSES, SHORTEST_SILENCE_MS)
            } else {
                route.callerPatienceMs + GONE_AFTER_PATIENCE_MS
            }
        val leftMs = (attempt.lastSignMs + limitMs - clock.nowMs()).coerceAtLeast(0)
        return withTimeoutOrNull(leftMs) { answer.body.next() } ?: BodyPart.Broken("no event came for $limitMs ms")
    }

    /** Whether another target may continue the stream; if not, a slow stream is awaited for as long as its caller waits. */
    private fun mayContinueElsewhere(attempt: Attempt): Boolean {
        val route = attempt.request.route
        return route.repeat == RepeatKind.RESUMABLE &&
            attempt.runs + 1 < route.maximumTargets &&
            allowance.allows(clock.nowMs(), fleet.gateways.size)
    }

    private fun streamBroke(
        target: Target,
        attempt: Attempt,
        detail: String,
    ): ForwardingStep? {
        target.weigh(failed = true)
        attempt.detail = detail
        attempt.events.dropUnfinished()
        return decide(attempt, SendResult.Lost).brokenOff(attempt)
    }

    private fun ForwardingStep.brokenOff(attempt: Attempt): ForwardingStep? {
        if (this == ForwardingStep.SendAgain || !attempt.answer.begun) return this
        attempt.outcome = BROKEN_OFF
        return null
    }

    private fun breakOff(attempt: Attempt) {
        attempt.outcome = BROKEN_OFF
        metrics.count(MetricName.UNKNOWN_OUTCOMES, attempt.detail.take(MOST_REASON_CHARACTERS))
    }

    private suspend fun passFailure(attempt: Attempt) {
        val failure = attempt.failure
        val body = attempt.failureBody
        if (failure == null || body == null) return respondUnknown(attempt, BAD_GATEWAY)
        attempt.outcome = "failed by its target"
        attempt.answer.pass(failure.head, body)
    }

    private suspend fun respondNotRun(
        attempt: Attempt,
        retryAfterMs: Long?,
    ) {
        attempt.outcome = "not run"
        metrics.count(MetricName.REFUSALS, attempt.detail.take(MOST_REASON_CHARACTERS))
        if (!attempt.answer.begun) attempt.answer.refuse(SERVICE_UNAVAILABLE, "not run", retryAfterMs)
    }

    private suspend fun respondUnknown(
        attempt: Attempt,
        status: Int,
    ) {
        attempt.outcome = "unknown"
        metrics.count(MetricName.UNKNOWN_OUTCOMES, attempt.detail.take(MOST_REASON_CHARACTERS))
        if (!attempt.answer.begun) attempt.answer.refuse(status, "outcome unknown")
    }

    private companion object {
        const val BROKEN_OFF = "broken off"
        const val BAD_GATEWAY = 502
        const val SERVICE_UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
        const val FIRST_SERVER_ERROR = 500
        const val LOWEST_URGENCY = 9
        val SUCCESS = 200..299

        /** Responses of plain services are buffered completely, so that a truncated one is never passed on in part. */
        const val MAXIMUM_ANSWER_BYTES = 8L * 1024 * 1024
        const val MOST_REASON_CHARACTERS = 40

        /** Refusals by targets after which the caller gets an error; each retry also counts against the retry budget. */
        const val MOST_REFUSALS = 4

        /** A connection idle for less than this is unlikely to be closed by its target; older ones serve requests that may be retried. */
        const val KEPT_FOR_ONCE_MS = 10_000L
        const val KEPT_MS = 60_000L

        /** Interval at which a waiting request is checked again, in case no change is signalled. */
        const val LONGEST_WAIT_MS = 100L
        const val SHORT_WAIT_MS = 30L

        /** Fraction of the latency objective after which a request without a target is refused, so that its caller tries another gateway. */
        const val PATIENCE_DIVISOR = 8
        const val LONGEST_PATIENCE_MS = 300L
        const val RETRY_AFTER_REFUSAL_MS = 300L

        /** Response duration assumed for a route without statistics: most streams end within this. */
        const val UNKNOWN_ANSWER_MS = 3_000L

        /** The caller is expected to use another gateway, so it need not wait. */
        const val RETRY_AT_ONCE_MS = 0L

        /** Multiple of the pause objective of a stream after which its target counts as silent. */
        const val SILENT_PAUSES = 3
        const val SHORTEST_SILENCE_MS = 1_000L

        /** Added to the time after which a caller disconnects by itself, so that the gateway never disconnects it first. */
        const val GONE_AFTER_PATIENCE_MS = 250L
    }
}
