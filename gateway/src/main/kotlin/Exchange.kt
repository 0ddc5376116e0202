package org.almondjunction.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.decisions.SendResult
import org.almondjunction.network.BodyFraming
import org.almondjunction.network.BodyPart
import org.almondjunction.network.BodyReader
import org.almondjunction.network.BodyResult
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpHeadParser
import org.almondjunction.network.HttpHeader
import org.almondjunction.network.HttpReader
import org.almondjunction.network.HttpWriter
import org.almondjunction.network.ResponseHead

/** Result of sending one request to a target, before the body of the response is read. */
internal sealed class ExchangeResult {
    /** No response that can be passed on to the caller. */
    class Unusable(
        val result: SendResult,
        val detail: String,
    ) : ExchangeResult()

    /** The target's own response; its body has not been read yet. */
    class Response(
        val head: ResponseHead,
        val body: BodyReader,
    ) : ExchangeResult()
}

/** Exchange of one request and its response with a target on one connection. */
internal class Exchange(
    private val scope: CoroutineScope,
    val target: Target,
    private val names: HeaderNames,
    private val signals: SignalReader,
) : AutoCloseable {
    private var connection: TargetConnection? = null
    private var writer: Job? = null
    private var requestSent = false
    private var mustClose = false
    private var answer: ResponseHead? = null
    private var body: BodyReader? = null
    private var framing: BodyFraming = BodyFraming.None
    private var bytesWrittenBefore = 0L

    /** Whether only the end of the connection marks the end of the response, so that a truncated one may look complete. */
    val endsWithConnection: Boolean get() = framing == BodyFraming.UntilEnd

    /** Whether the head of a response to this request has arrived. */
    val answered: Boolean get() = answer != null

    /** Whether any byte of the request may have reached the target. */
    val mayHaveArrived: Boolean get() = closedAfterSending || connection?.let { it.tcp.bytesWritten > bytesWrittenBefore } ?: false
    private var closedAfterSending = false

    suspend fun send(
        request: ForwardedRequest,
        headers: List<HttpHeader>,
        maximumIdleMs: Long,
        timeoutMs: Long,
    ): ExchangeResult {
        val taken =
            target.pool.takeIdle(request.id, maximumIdleMs)
                ?: target.pool.dial(timeoutMs)
                ?: return ExchangeResult.Unusable(SendResult.NotSent, "the target cannot be reached")
        taken.record(request.id)
        connection = taken
        val opened = taken.tcp
        bytesWrittenBefore = opened.bytesWritten
        // The target may have asked for no further requests while the connection was established.
        if (!signals.accepts(target)) return ExchangeResult.Unusable(SendResult.NotSent, "the target accepts no more requests")
        val sent = CompletableDeferred<Boolean>()
        writer =
            scope.launch {
                requestSent = opened.write(HttpWriter.request(request.head.method, request.head.target, headers), request.body)
                sent.complete(requestSent)
            }
        val answer = awaitAnswer(request, taken)
        val nothingSent = opened.bytesWritten == bytesWrittenBefore
        if (answer is ExchangeResult.Unusable && answer.result == SendResult.Lost && nothingSent) {
            return ExchangeResult.Unusable(SendResult.NotSent, "the connection failed before the request left")
        }
        return answer
    }

    private suspend fun awaitAnswer(
        request: ForwardedRequest,
        taken: TargetConnection,
    ): ExchangeResult {
        val reader = HttpReader(taken.tcp)
        repeat(MAXIMUM_UNMATCHED_ANSWERS) {
            val head =
                when (val result = reader.responseHead(MAXIMUM_ANSWER_HEAD_BYTES)) {
                    is HeadResult.Read -> result.head.also { receive(it) }
                    HeadResult.End, HeadResult.Broken -> return lost("the connection ended before an answer")
                    is HeadResult.Malformed -> return lost(result.detail)
                    HeadResult.TooLarge -> return lost("the head of the answer is too large")
                }
            if (head.status < FIRST_FINAL_STATUS) return@repeat
            val bodyFraming = HttpHeadParser.framingOf(head, request.head.method) ?: return lost("the answer's length is contradictory")
            if (head.headers[names.requestId] == request.id) return classify(head, bodyOf(reader, bodyFraming), bodyFraming)
            mustClose = true
            if (head.headers[names.requestId] == null && head.headers[names.notExecuted] != null && taken.carriedOne) {
                return classify(head, bodyOf(reader, bodyFraming), bodyFraming)
            }
            if (bodyFraming == BodyFraming.UntilEnd || reader.body(bodyFraming).readAll(MAXIMUM_DISCARDED_BYTES) !is BodyResult.Read) {
                return lost("an answer to another request came")
            }
        }
        return lost("answers to other requests came")
    }

    private fun receive(head: ResponseHead) {
        target.recordActivity()
        signals.read(target, head)
    }

    /** A body that ends with its connection is incomplete if the target stopped reading the request before. */
    private fun bodyOf(
        reader: HttpReader,
        bodyFraming: BodyFraming,
    ): BodyReader {
        val read = reader.body(bodyFraming)
        if (bodyFraming != BodyFraming.UntilEnd) return read
        return BodyReader {
            val part = read.next()
            if (part == BodyPart.Complete && !requestSent) BodyPart.Broken("The connection ended before the request was written.") else part
        }
    }

    private fun classify(
        head: ResponseHead,
        body: BodyReader,
        bodyFraming: BodyFraming,
    ): ExchangeResult {
        answer = head
        this.body = body
        framing = bodyFraming
        val notRun = head.headers[names.notExecuted] != null || head.status == MISDIRECTED
        val signed = head.headers[names.signature] != null
        return when {
            notRun -> {
                val byAnotherTarget = head.headers[names.answeringTarget]?.let { it != target.entry.target.value } ?: false
                ExchangeResult.Unusable(SendResult.Refused(byAnotherTarget), "status ${head.status}, not executed")
            }
            head.status in SUCCESS && !signed -> lost("a success without signature came")
            head.headers["Content-Encoding"] != null -> lost("an encoded body came")
            else -> ExchangeResult.Response(signals.withoutSignals(head), body)
        }
    }

    private fun lost(detail: String): ExchangeResult {
        mustClose = true
        return ExchangeResult.Unusable(SendResult.Lost, detail)
    }

    /** Returns the connection to the pool if it can be reused; [bodyRead] is whether the body of the response was read to its end. */
    suspend fun finish(bodyRead: Boolean) {
        val opened = connection ?: return
        val head = answer
        val unread = body.takeUnless { bodyRead }
        val drained =
            unread == null || withTimeoutOrNull(DRAIN_TIMEOUT_MS) { unread.readAll(MAXIMUM_DISCARDED_BYTES) is BodyResult.Read } == true
        val reusable = head != null && drained && requestSent && !mustClose && framing != BodyFraming.UntilEnd && opened.tcp.input.size == 0
        if (reusable && head != null && !head.headers.hasToken("Connection", "close")) {
            connection = null
            target.pool.release(opened, head.headers)
        } else {
            close()
        }
    }

    /** Resets the connection: a target that still processes the request sees a disconnect, and bytes in transit are discarded. */
    override fun close() {
        closedAfterSending = mayHaveArrived
        writer?.cancel()
        connection?.tcp?.abort()
        connection = null
    }

    private companion object {
        const val MAXIMUM_UNMATCHED_ANSWERS = 4
        const val FIRST_FINAL_STATUS = 200
        const val MISDIRECTED = 421
        val SUCCESS = 200..299
        const val MAXIMUM_ANSWER_HEAD_BYTES = 32_768
        const val MAXIMUM_DISCARDED_BYTES = 256L * 1024
        const val DRAIN_TIMEOUT_MS = 200L
    }
}
