package org.almondjunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Clock
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.decisions.EngineSignals
import org.almondjunction.decisions.ForwardingDecision
import org.almondjunction.decisions.ForwardingState
import org.almondjunction.decisions.ForwardingStep
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.decisions.SendResult
import org.almondjunction.decisions.SharedRetryBudget
import org.almondjunction.decisions.SoftwareVersion
import org.almondjunction.decisions.StopAdmission
import org.almondjunction.decisions.StoppingRequest
import org.almondjunction.decisions.StreamContinuation
import org.almondjunction.network.BodyPart
import org.almondjunction.network.BodyResult
import org.almondjunction.network.HttpHeader
import kotlin.random.Random

/** Forwards requests to targets and relays the responses. */
internal class Forwarder(
    private val clock: Clock,
    private val selector: TargetSelector,
    private val registry: TargetRegistry,
    private val state: GatewayState,
    private val names: HeaderNames,
    private val retryBudget: SharedRetryBudget,
    private val metrics: Metrics,
    private val quotas: QuotaClient,
    private val hedging: HedgedExchange,
    private val signals: SignalReader,
    private val origins: StreamOriginClient,
) {
    private val active = mutableSetOf<ForwardingContext>()
    private val targetEndCheck = TargetEndCheck(clock, state)

    /** Serves [request]; returns when its response is complete or cannot be completed. */
    suspend fun forward(
        request: ForwardedRequest,
        answer: CallerAnswer,
    ) {
        val context = ForwardingContext(request, answer, state.buffered.newReservation(), clock)
        retryBudget.recordFirstSend(clock.nowMs())
        metrics.count(MetricName.REQUESTS)
        request.model?.let { state.demand.record(it, clock.nowMs()) }
        active += context
        try {
            val ended = withTimeoutOrNull(context.timeLeftMs.coerceAtLeast(0)) { context.runCancellable { runWithinQuota(context) } }
            when (ended) {
                null -> handleTimeout(context)
                true -> Unit
                false -> giveUp(context, context.cancelReason.orEmpty(), RETRY_IMMEDIATELY_MS)
            }
        } finally {
            active -= context
            context.buffered.close()
            context.log(state.configuration?.version)
        }
    }

    /** Cancels every request whose response has not begun, so that its caller gets an error response before the process ends. */
    fun answerPending(): Unit = active.filter { !it.answer.begun }.forEach { it.cancel(STOPPED_WITHOUT_ANSWER) }

    /** Cancels every active request and returns their number. */
    fun cancelActive(): Int = active.toList().onEach { it.cancel(STOPPED_WITHOUT_ANSWER) }.size

    /** Cancels the requests that wait at a target which they would end. */
    fun cancelQuarantined(): Unit =
        active
            .filter { !it.answer.begun && !it.probe && it.exchange != null && state.crashes.isQuarantined(it.request) }
            .forEach { it.cancel(ENDS_TARGETS) }

    private suspend fun handleTimeout(context: ForwardingContext) {
        if (context.answer.begun) {
            context.outcome = "broken off at its time limit"
            return
        }
        if (context.sends > 0) respondUnknown(context, GATEWAY_TIMEOUT) else respondNotRun(context, null)
    }

    private suspend fun runWithinQuota(context: ForwardingContext) {
        when (val admission = quotas.admit(context.request)) {
            is QuotaAdmission.Admitted ->
                try {
                    run(context)
                } finally {
                    if (!context.sentAny) admission.refund()
                }
            is QuotaAdmission.OverLimit -> {
                context.detail = "the tenant is over its limit"
                respondNotRun(context, admission.retryAfterMs, TOO_MANY_REQUESTS)
            }
            is QuotaAdmission.NoCoordinator -> {
                context.detail = "no coordinator of quotas"
                respondNotRun(context, admission.retryAfterMs)
            }
        }
    }

    private suspend fun run(context: ForwardingContext) {
        if (!mayContinue(context)) return
        while (true) {
            val target = awaitTarget(context) ?: return
            val step =
                hedging.run(context, target) { chosen -> coroutineScope { markingProbe(context) { sendTo(this, chosen, context) } } }
            when (step) {
                null -> return
                ForwardingStep.Retry -> {
                    metrics.count(MetricName.RETRIES, context.detail.take(MAXIMUM_REASON_CHARACTERS))
                    awaitTargetEnd(context)
                }
                ForwardingStep.AnswerNotRun -> return respondNotRun(context, RETRY_AFTER_REFUSAL_MS)
                ForwardingStep.AnswerUnknown -> return respondUnknown(context, BAD_GATEWAY)
                ForwardingStep.RelayFailure -> return relayFailure(context)
                ForwardingStep.AwaitOther -> error("No send is in progress.")
            }
        }
    }

    /** Confines a stream that its caller takes up to the version that began it; returns false if it was refused. */
    private suspend fun mayContinue(context: ForwardingContext): Boolean {
        val request = context.request
        if (!request.resumes) return true
        val origin = request.resumedRequest?.let { origins.find(it) }
        when (val continuation = StreamContinuation.of(origin, registry.versions(request.service))) {
            StreamContinuation.AnyTarget -> Unit
            is StreamContinuation.SameVersion -> context.streamVersion = continuation.version
            StreamContinuation.Impossible -> {
                giveUp(context, "the version that began the stream is unknown", RETRY_AFTER_REFUSAL_MS)
                return false
            }
        }
        return true
    }

    /** A resumable stream that was broken off at its beginning is confined to one target if it may have ended the last one. */
    private suspend fun awaitTargetEnd(context: ForwardingContext) {
        val broken = context.brokenOff ?: return
        context.brokenOff = null
        if (context.request.route.retryKind != RetrySafety.RESUMABLE) return
        context.endedTargetPart = targetEndCheck.confinedPart(context, broken) ?: context.endedTargetPart
    }

    /** Runs [send]; while it is a probe, no other request of this gateway with the same part is one. */
    private suspend fun markingProbe(
        context: ForwardingContext,
        send: suspend () -> ForwardingStep?,
    ): ForwardingStep? {
        val probed = (context.admission as? CrashTracker.Admission.Confined)?.takeIf { it.probe }?.part ?: return send()
        state.crashes.beginProbe(probed)
        try {
            return send()
        } finally {
            state.crashes.endProbe(probed)
        }
    }

    private suspend fun awaitTarget(context: ForwardingContext): Target? {
        context.markWaiting()
        val request = context.request
        val model = request.model ?: return findTarget(context)
        val objectiveMs = request.arrivedMs + request.route.latencyObjectiveMs
        state.waitingCallers.add(model, objectiveMs)
        try {
            return findTarget(context)
        } finally {
            state.waitingCallers.remove(model, objectiveMs)
        }
    }

    private suspend fun findTarget(context: ForwardingContext): Target? {
        val request = context.request
        while (true) {
            val seen = state.changed.count
            if (state.stop?.let { clock.nowMs() >= it.finalResponseMs } == true) {
                giveUp(context, "the gateway goes", RETRY_IMMEDIATELY_MS)
                return null
            }
            if (!context.answer.begun) {
                when (stopAdmission(request)) {
                    StopAdmission.RELAY -> Unit
                    StopAdmission.BUFFER -> context.output.buffered = true
                    StopAdmission.REFUSE -> {
                        giveUp(context, "the gateway goes before the answer would end", RETRY_IMMEDIATELY_MS)
                        return null
                    }
                }
            }
            val admission = state.crashes.admit(request, registry.gateways).also { context.admission = it }
            if (admission is CrashTracker.Admission.Refused) {
                giveUp(context, ENDS_TARGETS, admission.retryAfterMs)
                return null
            }
            when (
                val choice =
                    selector.choose(
                        request,
                        context.tried,
                        (admission as? CrashTracker.Admission.Confined)?.part ?: context.endedTargetPart,
                        context.streamVersion,
                    )
            ) {
                is TargetSelector.Choice.Selected -> return choice.target
                is TargetSelector.Choice.Later -> {
                    context.detail = "waits for weights"
                    if (choice.expectedMs > request.callerDisconnectMs - clock.nowMs() && !context.answer.begun) {
                        giveUp(context, "weights come too late", choice.expectedMs)
                        return null
                    }
                    state.changed.await(seen, LOAD_WAIT_MS)
                }
                is TargetSelector.Choice.AskedToWait -> {
                    context.detail = "targets asked to wait"
                    if (choice.waitMs > request.callerDisconnectMs - clock.nowMs() - MINIMUM_ANSWER_MS && !context.answer.begun) {
                        giveUp(context, context.detail, EngineSignals.retryAfterMs(choice.waitMs, Random.Default))
                        return null
                    }
                    state.changed.await(seen, minOf(choice.waitMs, LOAD_WAIT_MS))
                }
                is TargetSelector.Choice.None -> {
                    val waitedMs = clock.nowMs() - request.arrivedMs
                    if (waitedMs >= minOf(request.route.latencyObjectiveMs / OBJECTIVE_DIVISOR, MAXIMUM_TARGET_WAIT_MS)) {
                        giveUp(context, choice.reason, RETRY_AFTER_REFUSAL_MS)
                        return null
                    }
                    state.changed.await(seen, TARGET_WAIT_MS)
                }
            }
        }
    }

    private fun stopAdmission(request: ForwardedRequest): StopAdmission {
        val stop = state.stop ?: return StopAdmission.RELAY
        val stoppingRequest =
            StoppingRequest(
                arrivedMs = request.arrivedMs,
                likelyMs = state.answerDurations.estimateMs(request.route.name, request.answerTokens),
                endMs = request.responseDeadlineMs,
                streaming = request.route.streaming,
            )
        return StopAdmission.of(stoppingRequest, stop, clock.nowMs())
    }

    private suspend fun giveUp(
        context: ForwardingContext,
        reason: String,
        retryAfterMs: Long,
    ) {
        context.detail = reason
        when {
            context.answer.begun -> recordTruncation(context)
            context.failure != null -> relayFailure(context)
            context.mayHaveRun -> respondUnknown(context, BAD_GATEWAY)
            else -> respondNotRun(context, retryAfterMs)
        }
    }

    private suspend fun sendTo(
        scope: CoroutineScope,
        target: Target,
        context: ForwardingContext,
    ): ForwardingStep? {
        val request = context.request
        val inFlight = newInFlightRequest(request, target, context)
        val exchange = Exchange(scope, target, names, signals)
        context.beginExchange(exchange, scope)
        inFlight.cancel = { exchange.close() }
        target.begin(inFlight)
        context.tried[target] = clock.nowMs()
        context.lastTarget = target
        context.sends++
        // The entry may change while the answer arrives; it is this incarnation that writes it.
        val version = target.softwareVersion
        if (request.route.streaming && request.route.retryKind == RetrySafety.RESUMABLE) origins.record(request.id, version)
        try {
            target.promptCache.add(request.weights, request.parts)
            val maximumIdleMs = if (request.route.retryKind == RetrySafety.ONCE) MAXIMUM_IDLE_FOR_ONCE_MS else MAXIMUM_IDLE_MS
            val answer = exchange.send(request, headersFor(target, context), maximumIdleMs, context.timeLeftMs)
            return when (answer) {
                is ExchangeResult.Unusable -> handleUnusable(target, exchange, context, answer, inFlight)
                is ExchangeResult.Response -> handleResponse(target, exchange, context, answer, inFlight, version)
            }
        } finally {
            context.endExchange(exchange)
            exchange.close()
            target.end(inFlight)
        }
    }

    private fun newInFlightRequest(
        request: ForwardedRequest,
        target: Target,
        context: ForwardingContext,
    ) = InFlightRequest(
        model = request.model,
        adapter = request.adapter,
        promptTokens = target.uncachedTokens(request),
        retryable = request.route.retryKind != RetrySafety.ONCE,
        callerIdleTimeoutMs = request.route.callerIdleTimeoutMs,
        lastProgressMs = context.lastProgressMs,
    )

    private fun headersFor(
        target: Target,
        context: ForwardingContext,
    ): List<HttpHeader> {
        val request = context.request
        val received = request.head.headers
        val headers =
            received
                .endToEnd()
                .filter { header ->
                    val name = header.name.lowercase()
                    name !in names.reserved &&
                        name != names.deadlineMs.lowercase() &&
                        (context.events.lastEvent == null || name != names.lastEvent.lowercase())
                }.toMutableList()
        headers += HttpHeader(names.deadlineMs, context.timeLeftMs.coerceAtLeast(1).toString())
        headers += HttpHeader(names.targetIdentity, target.entry.target.value)
        request.tenant?.let { headers += HttpHeader(names.tenant, it.name) }
        if (request.route.streaming) {
            headers += HttpHeader(names.urgency, request.priority.coerceIn(0, LOWEST_URGENCY).toString())
        }
        context.events.lastEvent?.let { headers += HttpHeader(names.lastEvent, it) }
        val hasBody = request.body.isNotEmpty() || received["Content-Length"] != null || received["Transfer-Encoding"] != null
        if (hasBody) headers += HttpHeader("Content-Length", request.body.size.toString())
        return headers
    }

    private suspend fun handleUnusable(
        target: Target,
        exchange: Exchange,
        context: ForwardingContext,
        answer: ExchangeResult.Unusable,
        inFlight: InFlightRequest,
    ): ForwardingStep {
        context.detail = answer.detail
        target.recordResult(failed = true)
        if (answer.result is SendResult.Refused) exchange.finish(bodyRead = false) else exchange.close()
        if (answer.result == SendResult.Lost) reportBrokenOff(target, context, inFlight)
        return decide(context, answer.result)
    }

    private fun decide(
        context: ForwardingContext,
        result: SendResult,
    ): ForwardingStep {
        if (result.knownNotRun) context.refusals++ else context.runs++
        val forwarding =
            ForwardingState(
                kind = context.request.route.retryKind,
                mayHaveRun = context.mayHaveRun,
                // A request under which a target has ended may have ended it, and may end another one.
                runsLeft = if (context.endedTargetPart == null) context.request.route.maximumTargets - context.runs else 0,
                refusalsLeft = MAXIMUM_REFUSALS - context.refusals,
                timeLeftMs = context.timeLeftMs,
                otherRuns = context.raced,
            )
        if (!result.knownNotRun) context.mayHaveRun = true
        // Another send could end another target.
        if (result == SendResult.Lost && !context.raced && state.crashes.isSuspect(context.request)) return ForwardingStep.AnswerUnknown
        return ForwardingDecision.after(forwarding, result) { retryBudget.tryRetry(clock.nowMs(), registry.gateways.size) }
    }

    private suspend fun handleResponse(
        target: Target,
        exchange: Exchange,
        context: ForwardingContext,
        answer: ExchangeResult.Response,
        inFlight: InFlightRequest,
        version: SoftwareVersion,
    ): ForwardingStep? {
        val succeeded = answer.head.status in SUCCESS
        if (succeeded && context.request.route.streaming) return relayStream(target, exchange, context, answer, inFlight, version)
        if (context.answer.begun) {
            context.detail = "status ${answer.head.status} instead of the rest of a stream"
            target.recordResult(failed = true)
            return decide(context, SendResult.Lost).orTruncated(context)
        }
        val body = answer.body.readAll(MAXIMUM_ANSWER_BYTES, context.buffered)
        if (body !is BodyResult.Read) {
            context.detail = unusableReason(body)
            target.recordResult(failed = true)
            reportBrokenOff(target, context, inFlight)
            return decide(context, SendResult.Lost)
        }
        exchange.finish(bodyRead = true)
        val failure = failureOf(answer.head.status)
        target.recordResult(failed = failure != null)
        context.detail = "status ${answer.head.status}"
        if (failure != null) {
            if (failure.relayable) {
                context.failure = answer
                context.failureBody = body.bytes
            }
            return decide(context, failure)
        }
        hedging.recordComplete(context, target, exchange)
        context.outcome = ForwardingContext.SERVED
        if (succeeded) hedging.recordDuration(context, inFlight)
        if (succeeded) recordAnswer(target, exchange, context, inFlight)
        recordDuration(context)
        context.answer.relay(answer.head, body.bytes)
        return null
    }

    /** Returns the failure that a complete response with [status] reports; null if it reports none. */
    private fun failureOf(status: Int): SendResult.Failed? =
        SendResult.Failed(status).takeIf { status >= FIRST_SERVER_ERROR || !it.relayable }

    private fun unusableReason(body: BodyResult): String =
        when (body) {
            is BodyResult.Read -> "the answer cannot be handed on"
            BodyResult.TooLarge -> "the answer is too large"
            BodyResult.BudgetExceeded -> "too many answers at once"
            is BodyResult.Broken -> "the answer broke off"
        }

    private suspend fun relayStream(
        target: Target,
        exchange: Exchange,
        context: ForwardingContext,
        answer: ExchangeResult.Response,
        inFlight: InFlightRequest,
        version: SoftwareVersion,
    ): ForwardingStep? {
        while (true) {
            val part = nextPart(context, answer, inFlight)
            when (part) {
                is BodyPart.Data -> {
                    val complete = context.events.feed(part.bytes)
                    val room = context.buffered.resize(context.events.pendingBytes.toLong() + complete.size + context.output.bufferedBytes)
                    if (!room || context.events.pendingBytes > EventSplitter.MAXIMUM_EVENT_BYTES) {
                        return handleBrokenStream(target, context, inFlight, "an event does not end")
                    }
                    if (complete.isEmpty()) continue
                    if (context.streamVersion == null) context.streamVersion = version
                    target.recordActivity()
                    context.lastProgressMs = clock.nowMs()
                    if (!inFlight.answering) hedging.recordDuration(context, inFlight)
                    if (!inFlight.answering) inFlight.answeringMs = context.lastProgressMs
                    inFlight.lastProgressMs = context.lastProgressMs
                    if (context.firstPartMs == null) {
                        val firstPartMs = context.lastProgressMs - context.request.arrivedMs
                        metrics.record(MetricName.TIME_TO_FIRST_TOKEN, firstPartMs)
                        context.firstPartMs = firstPartMs
                    }
                    if (!context.output.add(answer.head, complete)) return null
                }
                BodyPart.Complete -> {
                    if (context.events.hasIncompleteEvent) {
                        return handleBrokenStream(target, context, inFlight, "the stream ended inside an event")
                    }
                    if (exchange.endsWithConnection && !inFlight.answering && context.events.lastEvent == null) {
                        return handleBrokenStream(target, context, inFlight, "the stream ended before its first event")
                    }
                    context.output.add(answer.head, context.events.takePending())
                    recordAnswer(target, exchange, context, inFlight)
                    exchange.finish(bodyRead = true)
                    target.recordResult(failed = false)
                    context.outcome = ForwardingContext.SERVED
                    recordDuration(context)
                    inFlight.model?.let { state.workStatistics.record(it, inFlight.promptTokens, clock.nowMs() - inFlight.startedMs) }
                    context.output.end(answer.head)
                    return null
                }
                is BodyPart.Broken -> return handleBrokenStream(target, context, inFlight, part.detail)
            }
        }
    }

    private fun recordDuration(context: ForwardingContext) {
        val request = context.request
        val completeMs = clock.nowMs() - request.arrivedMs
        state.answerDurations.record(request.route.name, context.firstPartMs ?: completeMs, completeMs, request.answerTokens)
    }

    /** Returns the next part. Only complete events extend the time limit, so that single bytes do not keep a stalled stream alive. */
    private suspend fun nextPart(
        context: ForwardingContext,
        answer: ExchangeResult.Response,
        inFlight: InFlightRequest,
    ): BodyPart =
        coroutineScope {
            val next = async { answer.body.next() }
            var limitMs = silenceLimitMs(context, inFlight)
            while (true) {
                val leftMs = (context.lastProgressMs + limitMs - clock.nowMs()).coerceAtLeast(0)
                withTimeoutOrNull(leftMs) { next.await() }?.let { return@coroutineScope it }
                // Other requests may have spent the retry budget meanwhile, so that no other target can continue the stream.
                val currentLimitMs = silenceLimitMs(context, inFlight)
                if (currentLimitMs <= limitMs) break
                limitMs = currentLimitMs
            }
            next.cancel()
            BodyPart.Broken("no event came for $limitMs ms")
        }

    private fun silenceLimitMs(
        context: ForwardingContext,
        inFlight: InFlightRequest,
    ): Long {
        val route = context.request.route
        return if (inFlight.answering && mayRetryElsewhere(context)) {
            maxOf(route.pauseObjectiveMs * PAUSES_UNTIL_SILENT, MINIMUM_SILENCE_MS)
        } else {
            route.callerIdleTimeoutMs + CALLER_DISCONNECT_MARGIN_MS
        }
    }

    /** Whether another target may continue the stream; if not, a slow stream is awaited for as long as its caller waits. */
    private fun mayRetryElsewhere(context: ForwardingContext): Boolean {
        val route = context.request.route
        return route.retryKind == RetrySafety.RESUMABLE &&
            context.runs + 1 < route.maximumTargets &&
            context.endedTargetPart == null &&
            !state.crashes.isSuspect(context.request) &&
            context.streamVersion?.let { registry.mayContinue(context.request.service, context.lastTarget, it) } != false &&
            retryBudget.allows(clock.nowMs(), registry.gateways.size)
    }

    private fun reportBrokenOff(
        target: Target,
        context: ForwardingContext,
        inFlight: InFlightRequest,
    ) {
        val brokenOff = state.crashes.brokenOff(context.request, target, inFlight) ?: return
        context.brokenOff = TargetEndCheck.BrokenRequest(target, registry.report(target, brokenOff))
    }

    /** An answer that ends with its connection may have been broken off; that is known when its keeper knows whether the target has ended. */
    private fun recordAnswer(
        target: Target,
        exchange: Exchange,
        context: ForwardingContext,
        inFlight: InFlightRequest,
    ) {
        if (!exchange.endsWithConnection) return registry.recordAnswer(context.request)
        reportBrokenOff(target, context, inFlight)
        registry.recordAnswerIfRunning(context.request, target)
    }

    private fun handleBrokenStream(
        target: Target,
        context: ForwardingContext,
        inFlight: InFlightRequest,
        detail: String,
    ): ForwardingStep? {
        target.recordResult(failed = true)
        reportBrokenOff(target, context, inFlight)
        context.detail = detail
        context.events.discardIncompleteEvent()
        return decide(context, SendResult.Lost).orTruncated(context)
    }

    private fun ForwardingStep.orTruncated(context: ForwardingContext): ForwardingStep? {
        if (this == ForwardingStep.Retry || !context.answer.begun) return this
        context.outcome = TRUNCATED
        return null
    }

    private fun recordTruncation(context: ForwardingContext) {
        context.outcome = TRUNCATED
        metrics.count(MetricName.UNKNOWN_OUTCOMES, context.detail.take(MAXIMUM_REASON_CHARACTERS))
    }

    private suspend fun relayFailure(context: ForwardingContext) {
        val failure = context.failure
        val body = context.failureBody
        if (failure == null || body == null) return respondUnknown(context, BAD_GATEWAY)
        context.outcome = "failed by its target"
        context.answer.relay(failure.head, body)
    }

    private suspend fun respondNotRun(
        context: ForwardingContext,
        retryAfterMs: Long?,
        status: Int = SERVICE_UNAVAILABLE,
    ) {
        context.outcome = "not run"
        metrics.count(MetricName.REFUSALS, context.detail.take(MAXIMUM_REASON_CHARACTERS))
        if (!context.answer.begun) context.answer.refuse(status, "not run", retryAfterMs)
    }

    private suspend fun respondUnknown(
        context: ForwardingContext,
        status: Int,
    ) {
        context.outcome = "unknown"
        metrics.count(MetricName.UNKNOWN_OUTCOMES, context.detail.take(MAXIMUM_REASON_CHARACTERS))
        if (!context.answer.begun) context.answer.refuse(status, "outcome unknown")
    }

    private companion object {
        const val TRUNCATED = "broken off"
        const val STOPPED_WITHOUT_ANSWER = "the gateway goes before an answer came"
        const val ENDS_TARGETS = "a prompt part ends engines"
        const val TOO_MANY_REQUESTS = 429
        const val BAD_GATEWAY = 502
        const val SERVICE_UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
        const val FIRST_SERVER_ERROR = 500
        const val LOWEST_URGENCY = 9
        val SUCCESS = 200..299

        /** Responses of plain services are buffered completely, so that a truncated one is never passed on in part. */
        const val MAXIMUM_ANSWER_BYTES = 8L * 1024 * 1024
        const val MAXIMUM_REASON_CHARACTERS = 40

        /** Refusals by targets after which the caller gets an error; each retry also counts against the retry budget. */
        const val MAXIMUM_REFUSALS = 4

        /** A connection idle for less than this is unlikely to be closed by its target; older ones serve requests that may be retried. */
        const val MAXIMUM_IDLE_FOR_ONCE_MS = 10_000L
        const val MAXIMUM_IDLE_MS = 60_000L

        /** Interval at which a waiting request is checked again, in case no change is signalled. */
        const val LOAD_WAIT_MS = 100L
        const val TARGET_WAIT_MS = 30L

        /** Time from the end of the wait for a target in which an answer can arrive: one round trip between regions. */
        const val MINIMUM_ANSWER_MS = 40L

        /** Divides the latency objective; a request without a target is refused after that, so that its caller tries another gateway. */
        const val OBJECTIVE_DIVISOR = 8
        const val MAXIMUM_TARGET_WAIT_MS = 300L
        const val RETRY_AFTER_REFUSAL_MS = 300L

        /** The caller is expected to use another gateway, so it need not wait. */
        const val RETRY_IMMEDIATELY_MS = 0L

        /** Multiple of the pause objective of a stream after which its target counts as silent. */
        const val PAUSES_UNTIL_SILENT = 3
        const val MINIMUM_SILENCE_MS = 1_000L

        /** Added to the time after which a caller disconnects by itself, so that the gateway never disconnects it first. */
        const val CALLER_DISCONNECT_MARGIN_MS = 250L
    }
}
