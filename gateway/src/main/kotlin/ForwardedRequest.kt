package org.almondjunction.gateway

import org.almondjunction.decisions.RetrySafety
import org.almondjunction.network.RequestHead

/**
 * A complete request of a caller.
 *
 * @property arrivedMs when its first byte was read
 * @property deadlineMs when its caller stops waiting; null if not given
 * @property answerTokens maximum number of tokens of the response; 0 if not given
 * @property resumedRequest request that brought the first event of the stream which this one takes up; null if it names none
 * @property tenant tenant that holds the caller's API key; null if the route needs none
 */
internal class ForwardedRequest(
    val head: RequestHead,
    val body: ByteArray,
    val id: String,
    val route: Route,
    val arrivedMs: Long,
    val deadlineMs: Long?,
    val model: String?,
    val adapter: String?,
    val promptTokens: Long,
    val answerTokens: Long,
    val parts: PromptParts,
    val resumedRequest: String? = null,
    val tenant: Tenant? = null,
    private val lastEvent: String? = null,
) {
    /** Whether it takes up a stream that another request began. */
    val resumes: Boolean get() =
        route.streaming && route.retryKind == RetrySafety.RESUMABLE && (resumedRequest != null || lastEvent != null)

    val service = route.serviceFor(id)

    /** Rank of the request, 0 is the highest. */
    val priority: Int get() = tenant?.priority ?: route.priority

    /** Model and adapter that process the prompt; cached prompt parts are specific to them. */
    val weights: String get() = if (adapter == null) "$model" else "$model/$adapter"

    /** Deadline of the complete response. */
    val responseDeadlineMs: Long get() = minOf(arrivedMs + route.timeoutMs, deadlineMs ?: Long.MAX_VALUE)

    /** When the caller has probably disconnected if it has received nothing. */
    val callerDisconnectMs: Long get() = minOf(responseDeadlineMs, arrivedMs + route.callerIdleTimeoutMs)

    companion object {
        fun of(
            head: RequestHead,
            body: ByteArray,
            route: Route,
            arrivedMs: Long,
            names: HeaderNames,
            tenant: Tenant? = null,
        ): ForwardedRequest {
            val model = head.headers[names.model]
            val tokens = head.headers[names.tokens].orEmpty()
            return ForwardedRequest(
                head = head,
                body = body,
                id = head.headers[names.requestId].orEmpty(),
                route = route,
                arrivedMs = arrivedMs,
                deadlineMs = head.headers[names.deadlineMs]?.toLongOrNull()?.let { arrivedMs + it },
                model = model?.substringBefore('/'),
                adapter = model?.substringAfter('/', "")?.ifEmpty { null },
                promptTokens = tokens.substringBefore(',').trim().toLongOrNull() ?: 0,
                answerTokens = tokens.substringAfter(',', "").trim().toLongOrNull() ?: 0,
                parts = PromptParts.parse(head.headers[names.promptParts].orEmpty()),
                resumedRequest =
                    head.headers
                        .all(names.resumes)
                        .singleOrNull()
                        ?.trim()
                        ?.ifEmpty { null },
                tenant = tenant,
                lastEvent = head.headers[names.lastEvent],
            )
        }
    }
}
