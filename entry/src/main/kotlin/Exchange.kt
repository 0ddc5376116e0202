package org.almondjunction.entry

import org.almondjunction.common.Outcome
import org.almondjunction.common.RequestId
import org.almondjunction.protocol.Work

/**
 * A caller's request as it passes through the filters.
 *
 * @property target what the request asks for
 * @property deadlineMs deadline of the request, on the clock of this process
 */
internal data class Exchange(
    val id: RequestId,
    val target: RequestTarget,
    val method: String,
    val path: String,
    val contentType: String?,
    val idempotencyKey: String?,
    val body: ByteArray,
    val deadlineMs: Long,
    val priority: Int? = null,
)

/** What a request asks for. */
internal sealed class RequestTarget {
    /** A model or adapter, by its name in the request. */
    data class Model(
        val name: String,
    ) : RequestTarget()

    /** A plain service. */
    data class Service(
        val name: String,
    ) : RequestTarget()
}

/** Receives the answer to an [Exchange]. */
internal interface AnswerWriter {
    /** Begins the answer. */
    suspend fun head(
        status: Int,
        contentType: String?,
    )

    /** Writes part of the answer. */
    suspend fun write(bytes: ByteArray)
}

/** One step in the handling of a request; calls [next] to continue. */
internal fun interface RequestFilter {
    suspend fun handle(
        exchange: Exchange,
        answer: AnswerWriter,
        next: suspend (Exchange, AnswerWriter) -> Outcome,
    ): Outcome
}

/** Returns the composition of [filters], with the first filter outermost and [last] as the final handler. */
internal fun chain(
    filters: List<RequestFilter>,
    last: suspend (Exchange, AnswerWriter) -> Outcome,
): suspend (Exchange, AnswerWriter) -> Outcome =
    filters.foldRight(last) { filter, next -> { exchange, answer -> filter.handle(exchange, answer, next) } }

/** Returns this exchange as a call of a plain service, to be sent to an agent. */
internal fun Exchange.plainCall(): Work =
    Work.PlainCall(method = method, path = path, contentType = contentType, idempotencyKey = idempotencyKey, body = body)
