package org.almondjunction.entry

import org.almondjunction.common.Outcome
import org.almondjunction.common.RequestId
import org.almondjunction.protocol.Work

/**
 * A caller's request on its way through the filters.
 *
 * @property target what the request asks for
 * @property deadlineMs time by which it must have ended, by this process's clock
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
    /** A model or adapter, by the name that the caller gave. */
    data class Model(
        val name: String,
    ) : RequestTarget()

    /** A plain service. */
    data class Service(
        val name: String,
    ) : RequestTarget()
}

/** Takes the answer to an [Exchange]. */
internal interface AnswerWriter {
    /** Begins the answer. */
    suspend fun head(
        status: Int,
        contentType: String?,
    )

    /** Writes part of the answer. */
    suspend fun write(bytes: ByteArray)
}

/** One step of the way of a request; calls [next] to go on. */
internal fun interface RequestFilter {
    suspend fun handle(
        exchange: Exchange,
        answer: AnswerWriter,
        next: suspend (Exchange, AnswerWriter) -> Outcome,
    ): Outcome
}

/** Returns the composition of [filters], first filter outermost, ending in [last]. */
internal fun chain(
    filters: List<RequestFilter>,
    last: suspend (Exchange, AnswerWriter) -> Outcome,
): suspend (Exchange, AnswerWriter) -> Outcome =
    filters.foldRight(last) { filter, next -> { exchange, answer -> filter.handle(exchange, answer, next) } }

/** Returns the work that an agent is asked to do for this exchange. */
internal fun Exchange.plainCall(): Work =
    Work.PlainCall(method = method, path = path, contentType = contentType, idempotencyKey = idempotencyKey, body = body)
