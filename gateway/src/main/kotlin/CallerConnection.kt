package org.almondjunction.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.network.BodyFraming
import org.almondjunction.network.BodyResult
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpHeadParser
import org.almondjunction.network.HttpReader
import org.almondjunction.network.ReadResult
import org.almondjunction.network.RequestHead
import org.almondjunction.network.TcpConnection

/** Serves the requests on one connection of a caller sequentially. */
internal class CallerConnection(
    private val connection: TcpConnection,
    private val clock: Clock,
    private val state: GatewayState,
    private val names: HeaderNames,
    private val forwarder: Forwarder,
    private val metrics: Metrics,
) : AutoCloseable {
    private val reader = HttpReader(connection)
    private val admission = RequestAdmission(state, names, clock)

    /** Whether a request is being read or answered. */
    var busy = false
        private set

    suspend fun serve() {
        try {
            var more = true
            while (more) more = serveOne()
        } finally {
            connection.close()
        }
    }

    private suspend fun serveOne(): Boolean {
        val limits = state.configuration?.limits ?: CallerLimits()
        if (connection.input.size == 0) {
            val first = withTimeoutOrNull(limits.idleTimeoutMs) { connection.fill() }
            if (first != ReadResult.DATA) return false
        }
        busy = true
        val arrivedMs = clock.nowMs()
        val result = withTimeoutOrNull(limits.headTimeoutMs) { reader.requestHead(limits.maximumHeadBytes) }
        val more =
            when (result) {
                null -> refuseUnread(REQUEST_TIMEOUT, "the head took too long")
                is HeadResult.Read -> answer(result.head, arrivedMs, limits)
                HeadResult.End, HeadResult.Broken -> false
                is HeadResult.Malformed -> refuseUnread(BAD_REQUEST, result.detail)
                HeadResult.TooLarge -> refuseUnread(HEADERS_TOO_LARGE, "the head is too large")
            }
        busy = false
        // The answer may have begun before the stop, without the header that closes the connection.
        return more && !(state.stopping && connection.input.size == 0)
    }

    private suspend fun refuseUnread(
        status: Int,
        reason: String,
    ): Boolean {
        logRefusal(null, status, reason)
        CallerAnswer(connection, null).refuse(status, reason)
        return false
    }

    private suspend fun answer(
        head: RequestHead,
        arrivedMs: Long,
        limits: CallerLimits,
    ): Boolean {
        val answer = CallerAnswer(connection, head) { state.stopping && connection.input.size == 0 }
        val framing = HttpHeadParser.framingOf(head)
        val hosts = head.headers.all("Host")
        if (framing == null || hosts.size != 1) return refuse(head, answer, BAD_REQUEST, "the request can be read in two ways", null)
        if (framing is BodyFraming.Length && framing.bytes > limits.maximumBodyBytes) {
            return refuse(head, answer, CONTENT_TOO_LARGE, "the body is too large", null)
        }
        if (head.headers.hasToken("Expect", "100-continue")) connection.write(CONTINUE)
        return state.buffered.newReservation().use { reservation ->
            val read = withTimeoutOrNull(BODY_TIMEOUT_MS) { reader.body(framing).readAll(limits.maximumBodyBytes, reservation) }
            when (read) {
                is BodyResult.Read -> answer(head, read.bytes, arrivedMs, answer, hosts.single())
                BodyResult.TooLarge -> refuse(head, answer, CONTENT_TOO_LARGE, "the body is too large", null)
                BodyResult.BudgetExceeded -> refuse(head, answer, SERVICE_UNAVAILABLE, "too many bodies at once", RETRY_AFTER_OVERLOAD_MS)
                is BodyResult.Broken -> refuse(head, answer, BAD_REQUEST, read.detail, null)
                null -> refuse(head, answer, REQUEST_TIMEOUT, "the body took too long", null)
            }
        }
    }

    private suspend fun answer(
        head: RequestHead,
        body: ByteArray,
        arrivedMs: Long,
        answer: CallerAnswer,
        host: String,
    ): Boolean {
        when (val decision = admission.decide(head, host)) {
            is RequestAdmission.Decision.Refused -> {
                logRefusal(head, decision.status, decision.reason)
                answer.refuse(decision.status, decision.reason, decision.retryAfterMs)
            }
            is RequestAdmission.Decision.Admitted ->
                handleUnexpectedErrors(head, answer) {
                    forwardUntilDisconnect(ForwardedRequest.of(head, body, decision.route, arrivedMs, names, decision.tenant), answer)
                }
        }
        answer.abortIfIncomplete()
        return answer.complete && !answer.closesConnection
    }

    /** Runs [work]; an unexpected error ends only this request, with a response that its outcome is unknown. */
    private suspend fun handleUnexpectedErrors(
        head: RequestHead,
        answer: CallerAnswer,
        work: suspend () -> Unit,
    ) {
        try {
            work()
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (failure: Throwable) {
            metrics.count(MetricName.UNEXPECTED_ERRORS, "request")
            val extra = mapOf("id" to head.headers[names.requestId], "place" to failure.stackTrace.firstOrNull()?.toString())
            EventLog.error("unexpected error", LogFields(outcome = "unknown", reason = failure.toString(), extra = extra))
            if (!answer.begun) answer.refuse(BAD_GATEWAY, "outcome unknown")
        }
    }

    /** Forwards [request] until it is answered or its caller disconnects. */
    private suspend fun forwardUntilDisconnect(
        request: ForwardedRequest,
        answer: CallerAnswer,
    ): Unit =
        coroutineScope {
            val work = launch { forwarder.forward(request, answer) }
            val disconnectWatch =
                launch {
                    while (connection.input.size < MAXIMUM_PIPELINED_BYTES) {
                        if (connection.fill() != ReadResult.DATA) break
                    }
                    if (connection.input.size < MAXIMUM_PIPELINED_BYTES) {
                        metrics.count(MetricName.REFUSALS, "caller-gone")
                        work.cancel()
                    }
                }
            work.join()
            disconnectWatch.cancelAndJoin()
        }

    private suspend fun refuse(
        head: RequestHead,
        answer: CallerAnswer,
        status: Int,
        reason: String,
        retryAfterMs: Long?,
    ): Boolean {
        logRefusal(head, status, reason)
        answer.closesConnection = true
        answer.refuse(status, reason, retryAfterMs)
        return false
    }

    private fun logRefusal(
        head: RequestHead?,
        status: Int,
        reason: String,
    ) {
        metrics.count(MetricName.REFUSALS, reason)
        val extra =
            mapOf(
                "status" to status.toString(),
                "id" to head?.headers?.get(names.requestId),
                "path" to head?.target,
                "version" to state.configuration?.version?.toString(),
            )
        EventLog.info("refused unread", LogFields(outcome = "not run", reason = reason, extra = extra))
    }

    override fun close(): Unit = connection.close()

    private companion object {
        const val BAD_REQUEST = 400
        const val REQUEST_TIMEOUT = 408
        const val CONTENT_TOO_LARGE = 413
        const val HEADERS_TOO_LARGE = 431
        const val BAD_GATEWAY = 502
        const val SERVICE_UNAVAILABLE = 503
        const val RETRY_AFTER_OVERLOAD_MS = 500L

        /** Time limit for the complete body: above any caller's deadline; bounds callers that send single bytes at long intervals. */
        const val BODY_TIMEOUT_MS = 60_000L

        /** Maximum number of bytes of pipelined requests that are buffered while one is answered. */
        const val MAXIMUM_PIPELINED_BYTES = 64 * 1024
        val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray()
    }
}
