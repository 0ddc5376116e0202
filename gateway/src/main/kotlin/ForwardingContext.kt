package org.almondjunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.RequestId
import org.almondjunction.common.TargetId
import org.almondjunction.decisions.SoftwareVersion
import org.almondjunction.network.ByteBudget

/** State of a request while it is forwarded. */
internal class ForwardingContext(
    val request: ForwardedRequest,
    val answer: CallerAnswer,
    val buffered: ByteBudget.Reservation,
    private val clock: Clock,
) {
    val tried = mutableMapOf<Target, Long>()
    var lastTarget: Target? = null

    /** Exchanges in progress with the scopes in which they run; two while a hedged request is raced. */
    private val exchanges = mutableMapOf<Exchange, CoroutineScope>()

    /** The first exchange in progress, or null. */
    val exchange: Exchange? get() = exchanges.keys.firstOrNull()

    /** Whether two exchanges are in progress. */
    val raced: Boolean get() = exchanges.size > 1
    private var lastExchangePhase: RequestPhase? = null
    val events = EventSplitter()
    val output = StreamOutput(answer)
    var mayHaveRun = false
    var runs = 0
    var refusals = 0
    var sends = 0

    /** Whether any byte of the request may have reached a target. */
    var sentAny = false
        private set

    /** Result of the last hedged send, for the log; null if there was none. */
    var hedged: String? = null
    var detail = ""
    var outcome = "cancelled"
    var failure: ExchangeResult.Response? = null
    var failureBody: ByteArray? = null

    /** Version of the target that wrote the first event, the only one that may write the rest; null before the first event. */
    var streamVersion: SoftwareVersion? = null

    /** Time until the first part of the response; null until it has arrived. */
    var firstPartMs: Long? = null

    /** When the request arrived, or the caller last received a part of the response. */
    var lastProgressMs = request.arrivedMs

    val timeLeftMs get() = request.responseDeadlineMs - clock.nowMs()

    private var job: Job? = null

    /** Why [cancel] was called; null if it was not. */
    var cancelReason: String? = null
        private set

    /** Whether and how the request may be sent next. */
    var admission: CrashTracker.Admission = CrashTracker.Admission.Admitted

    /** Set if the last send was broken off at the beginning of its answer. */
    var brokenOff: TargetEndCheck.BrokenRequest? = null

    /** Part by which the request is confined since a target ended under it; null if none has. */
    var endedTargetPart: Long? = null

    /** Time for which the caller still waits for the next part of the response. */
    val callerPatienceMs: Long
        get() {
            val idleMs = lastProgressMs + request.route.callerIdleTimeoutMs - clock.nowMs()
            return minOf(timeLeftMs, idleMs).coerceAtLeast(0)
        }

    /** Whether it may end its target. */
    val probe: Boolean get() = (admission as? CrashTracker.Admission.Confined)?.probe == true

    /** Runs [block] until it ends or [cancel] cancels it; returns whether it ended by itself. */
    suspend fun runCancellable(block: suspend () -> Unit): Boolean =
        coroutineScope {
            val started = launch { block() }
            job = started
            started.join()
            !started.isCancelled
        }

    /** Cancels the forwarding, so that the caller can still get an error response. */
    fun cancel(reason: String) {
        cancelReason = reason
        job?.cancel()
    }

    fun markWaiting() {
        lastExchangePhase = null
    }

    /** Records that [started] is in progress and runs in [scope]. */
    fun beginExchange(
        started: Exchange,
        scope: CoroutineScope,
    ) {
        exchanges[started] = scope
    }

    fun endExchange(ended: Exchange) {
        if (ended.mayHaveArrived || ended.answered) sentAny = true
        if (cancelReason != null && ended.mayHaveArrived) mayHaveRun = true
        lastExchangePhase = maxOf(lastExchangePhase ?: RequestPhase.WAITING, phaseOf(ended))
        exchanges -= ended
    }

    /** Cancels all exchanges in progress except [kept] and closes their connections, so that their targets stop. */
    fun abandonExchanges(kept: Exchange? = null) {
        exchanges.filterKeys { it !== kept }.forEach { (exchange, scope) ->
            scope.cancel()
            exchange.close()
        }
    }

    private val phase: RequestPhase get() = lastExchangePhase ?: exchange?.let { phaseOf(it) } ?: RequestPhase.WAITING

    private fun phaseOf(current: Exchange): RequestPhase =
        when {
            answer.begun -> RequestPhase.ANSWER_BEGUN
            current.answered -> RequestPhase.ANSWER_ARRIVING
            current.mayHaveArrived -> RequestPhase.SENT
            else -> RequestPhase.CONNECTING
        }

    /** Logs the outcome of the request under configuration [version]. */
    fun log(version: Long?) {
        val served = outcome == SERVED
        EventLog.info(
            "request",
            LogFields(
                requestId = RequestId(request.id),
                target = lastTarget?.entry?.target ?: TargetId("none"),
                outcome = outcome,
                reason = detail,
                extra =
                    mapOf(
                        "route" to request.route.name,
                        "service" to request.service.value,
                        "tenant" to request.tenant?.name,
                        "model" to request.model?.let { request.weights },
                        "sends" to sends.toString(),
                        "softwareVersion" to streamVersion?.name,
                        "resumes" to request.resumedRequest,
                        "hedged" to hedged,
                        "tookMs" to (clock.nowMs() - request.arrivedMs).toString(),
                        "leftMs" to timeLeftMs.toString(),
                        "phase" to phase.label.takeUnless { served },
                        "buffered" to "true".takeIf { output.buffered },
                        "silentMs" to lastTarget?.let { "${clock.nowMs() - it.lastActivityMs}" }.takeUnless { served },
                        "parts" to loggedParts().takeUnless { served },
                        "version" to version.toString(),
                    ),
            ),
        )
    }

    /** Returns the first parts of the prompt as in the lines on requests that crash targets; null if there are none. */
    private fun loggedParts(): String? =
        request.parts.suspectable
            .take(MAXIMUM_LOGGED_PARTS)
            .joinToString(" ") { it.toULong().toString(HEXADECIMAL) }
            .ifEmpty { null }

    companion object {
        private const val MAXIMUM_LOGGED_PARTS = 8
        private const val HEXADECIMAL = 16
        const val SERVED = "served"
    }
}
