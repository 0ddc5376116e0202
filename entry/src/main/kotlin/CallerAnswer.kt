package org.almondjunction.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.almondjunction.common.Clock
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.common.Outcome
import org.almondjunction.common.RequestId
import java.io.ByteArrayOutputStream

/**
 * Answer to one caller. An event stream is forwarded as it arrives and always ends with its own terminator or with an error event; any
 * other answer is buffered until it is complete.
 */
internal class CallerAnswer(
    private val call: ApplicationCall,
    private val id: RequestId,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val metrics: Metrics,
) : AnswerWriter {
    private val startedMs = clock.nowMs()
    private val buffered = ByteArrayOutputStream()
    private var status = HttpStatusCode.OK
    private var contentType: ContentType? = null
    private var stream: ByteWriteChannel? = null
    private var response: Job? = null
    private val ended = CompletableDeferred<Unit>()
    private var lastWriteMs = 0L

    override suspend fun head(
        status: Int,
        contentType: String?,
    ) {
        this.status = HttpStatusCode.fromValue(status)
        this.contentType = contentType?.let { runCatching { ContentType.parse(it) }.getOrNull() }
        if (this.contentType?.match(ContentType.Text.EventStream) == true) stream = openStream()
    }

    private suspend fun openStream(): ByteWriteChannel {
        addHeaders(Outcome.Served)
        val opened = CompletableDeferred<ByteWriteChannel>()
        response =
            scope.launch {
                call.respondBytesWriter(contentType, status) {
                    opened.complete(this)
                    ended.await()
                }
            }
        return opened.await()
    }

    override suspend fun write(bytes: ByteArray) {
        val nowMs = clock.nowMs()
        if (lastWriteMs == 0L) {
            metrics.record(MetricName.TIME_TO_FIRST_TOKEN, nowMs - startedMs)
        } else {
            metrics.record(MetricName.TIME_BETWEEN_TOKENS, nowMs - lastWriteMs)
        }
        lastWriteMs = nowMs
        val channel = stream
        if (channel == null) {
            buffered.write(bytes)
        } else {
            channel.writeByteArray(bytes)
            channel.flush()
        }
    }

    /** Ends the answer according to [outcome]. */
    suspend fun conclude(outcome: Outcome) {
        val problem = Problem.of(outcome, id)
        val channel = stream
        when {
            channel != null -> {
                if (problem != null) channel.writeByteArray("event: error\ndata: ${problem.encode()}\n\n".encodeToByteArray())
                channel.flush()
                ended.complete(Unit)
                response?.join()
            }
            problem != null -> {
                addHeaders(outcome)
                call.respondText(problem.encode(), PROBLEM_JSON, HttpStatusCode.fromValue(problem.status))
            }
            else -> {
                addHeaders(outcome)
                respondBuffered()
            }
        }
    }

    /** Writes in chunks and flushes each one, to limit how much of a written answer is not yet sent to the caller. */
    private suspend fun respondBuffered() {
        val bytes = buffered.toByteArray()
        call.respondBytesWriter(contentType ?: ContentType.Application.OctetStream, status, contentLength = bytes.size.toLong()) {
            for (from in bytes.indices step CHUNK_BYTES) {
                writeFully(bytes, from, minOf(bytes.size, from + CHUNK_BYTES))
                flush()
            }
        }
    }

    private fun addHeaders(outcome: Outcome) {
        call.response.header("X-Request-Id", id.value)
        call.response.header("X-Outcome", outcome.headerValue)
        call.response.header(HttpHeaders.CacheControl, "no-store")
    }

    private companion object {
        const val CHUNK_BYTES = 64 * 1024
        val PROBLEM_JSON = ContentType("application", "problem+json")
    }
}
