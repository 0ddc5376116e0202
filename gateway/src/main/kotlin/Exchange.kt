package org.almondjunction.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.decisions.SendResult
import org.almondjunction.network.BodyFraming
import org.almondjunction.network.BodyReader
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpHeadParser
import org.almondjunction.network.HttpHeader
import org.almondjunction.network.HttpReader
import org.almondjunction.network.HttpWriter
import org.almondjunction.network.ResponseHead
import org.almondjunction.network.TcpConnection
import org.almondjunction.network.WholeBody

/** Result of sending one request to a target, before the body of the response is read. */
internal sealed class SendAnswer {
    /** No response that can be passed on to the caller. */
    class Unserved(
        val result: SendResult,
        val detail: String,
    ) : SendAnswer()

    /** The target's own response; its body has not been read yet. */
    class Answered(
        val head: ResponseHead,
        val body: BodyReader,
    ) : SendAnswer()
}

/** Exchange of one request and its response with a target on one connection. */
internal class Exchange(
    private val scope: CoroutineScope,
    val target: Target,
    private val names: HeaderNames,
) : AutoCloseable {
    private var connection: TcpConnection? = null
    private var writer: Job? = null
    private var wholeRequestSent = false
    private var odd = false
    private var answer: ResponseHead? = null
    private var body: BodyReader? = null
    private var framing: BodyFraming = BodyFraming.None
    private var writtenBefore = 0L

    /** Whether the head of a response to this request has arrived. */
    val answered: Boolean get() = answer != null

    /** Whether any byte of the request may have reached the target. */
    val mayHaveArrived: Boolean get() = closedAfterBytes || connection?.let { it.bytesWritten > writtenBefore } ?: false
    private var closedAfterBytes = false

    suspend fun send(
        request: ForwardedRequest,
        headers: List<HttpHeader>,
        keptYoungerThanMs: Long,
        timeoutMs: Long,
    ): SendAnswer {
        val opened =
            target.pool.takeKept(keptYoungerThanMs)
                ?: target.pool.dial(timeoutMs)
                ?: return SendAnswer.Unserved(SendResult.NotSent, "the target cannot be reached")
        connection = opened
        writtenBefore = opened.bytesWritten
        val sent = CompletableDeferred<Boolean>()
        writer =
            scope.launch {
                wholeRequestSent = opened.write(HttpWriter.request(request.head.method, request.head.target, headers), request.body)
                sent.complete(wholeRequestSent)
            }
        val answer = awaitAnswer(request, opened)
        val nothingLeft = opened.bytesWritten == writtenBefore
        if (answer is SendAnswer.Unserved && answer.result == SendResult.Lost && nothingLeft) {
            return SendAnswer.Unserved(SendResult.NotSent, "the connection failed before the request left")
        }
        return answer
    }

    private suspend fun awaitAnswer(
        request: ForwardedRequest,
        opened: TcpConnection,
    ): SendAnswer {
        val reader = HttpReader(opened)
        repeat(MOST_STRAY_ANSWERS) {
            val head =
                when (val result = reader.responseHead(MAXIMUM_ANSWER_HEAD_BYTES)) {
                    is HeadResult.Read -> result.head.also { target.heard() }
                    HeadResult.End, HeadResult.Broken -> return lost("the connection ended before an answer")
                    is HeadResult.Malformed -> return lost(result.detail)
                    HeadResult.TooLarge -> return lost("the head of the answer is too large")
                }
            if (head.status < FIRST_FINAL_STATUS) return@repeat
            val bodyFraming = HttpHeadParser.framingOf(head, request.head.method) ?: return lost("the answer's length is contradictory")
            if (head.headers[names.requestId] == request.id) return judge(head, reader.body(bodyFraming), bodyFraming)
            odd = true
            if (head.headers[names.requestId] == null && head.headers[names.notExecuted] != null) {
                return judge(head, reader.body(bodyFraming), bodyFraming)
            }
            if (bodyFraming == BodyFraming.UntilEnd || reader.body(bodyFraming).whole(MAXIMUM_STRAY_BYTES) !is WholeBody.Read) {
                return lost("an answer to another request came")
            }
        }
        return lost("answers to other requests came")
    }

    private fun judge(
        head: ResponseHead,
        body: BodyReader,
        bodyFraming: BodyFraming,
    ): SendAnswer {
        answer = head
        this.body = body
        framing = bodyFraming
        val notRun = head.headers[names.notExecuted] != null || head.status == MISDIRECTED
        val signed = head.headers[names.signature] != null
        return when {
            notRun -> {
                val another = head.headers[names.answeringTarget]?.let { it != target.entry.target.value } ?: false
                SendAnswer.Unserved(SendResult.Refused(another), "status ${head.status}, not executed")
            }
            head.status in SUCCESS && !signed -> lost("a success without signature came")
            head.headers["Content-Encoding"] != null -> lost("an encoded body came")
            else -> SendAnswer.Answered(head, body)
        }
    }

    private fun lost(detail: String): SendAnswer {
        odd = true
        return SendAnswer.Unserved(SendResult.Lost, detail)
    }

    /** Returns the connection to the pool if it can be reused; [bodyRead] is whether the body of the response was read to its end. */
    suspend fun finish(bodyRead: Boolean) {
        val opened = connection ?: return
        val head = answer
        val unread = body.takeUnless { bodyRead }
        val drained =
            unread == null || withTimeoutOrNull(DRAIN_TIMEOUT_MS) { unread.whole(MAXIMUM_STRAY_BYTES) is WholeBody.Read } == true
        val sound = head != null && drained && wholeRequestSent && !odd && framing != BodyFraming.UntilEnd && opened.input.size == 0
        if (sound && head != null && !head.headers.hasToken("Connection", "close")) {
            connection = null
            target.pool.giveBack(opened, head.headers)
        } else {
            close()
        }
    }

    /** Resets the connection: a target that still processes the request sees a disconnect, and bytes in transit are discarded. */
    override fun close() {
        closedAfterBytes = mayHaveArrived
        writer?.cancel()
        connection?.abort()
        connection = null
    }

    private companion object {
        const val MOST_STRAY_ANSWERS = 4
        const val FIRST_FINAL_STATUS = 200
        const val MISDIRECTED = 421
        val SUCCESS = 200..299
        const val MAXIMUM_ANSWER_HEAD_BYTES = 32_768
        const val MAXIMUM_STRAY_BYTES = 256L * 1024
        const val DRAIN_TIMEOUT_MS = 200L
    }
}
