package org.almondjunction.gateway

import org.almondjunction.network.RequestHead

/**
 * A request of a caller, read in full.
 *
 * @property arrivedMs when its first byte was read
 * @property deadlineMs when its caller stops waiting; null where it does not say
 * @property answerTokens greatest number of tokens of its answer; 0 where it does not say
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
    val parts: List<PromptPart>,
) {
    val service = route.serviceFor(id)

    /** Name of the weights that read the prompt; what is kept of prompts belongs to it. */
    val weights: String get() = if (adapter == null) "$model" else "$model/$adapter"

    /** When a final answer must be there. */
    val endMs: Long get() = minOf(arrivedMs + route.timeoutMs, deadlineMs ?: Long.MAX_VALUE)

    /** When its caller has most likely left if nothing has reached it. */
    val patienceEndMs: Long get() = minOf(endMs, arrivedMs + route.callerPatienceMs)

    companion object {
        fun of(
            head: RequestHead,
            body: ByteArray,
            route: Route,
            arrivedMs: Long,
            names: HeaderNames,
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
                parts = parts(head.headers[names.promptParts].orEmpty()),
            )
        }

        /** A part that cannot be read ends the list: what follows it cannot be shared either. */
        private fun parts(text: String): List<PromptPart> {
            val parts = mutableListOf<PromptPart>()
            for (item in text.split(',')) {
                val tokens = item.substringAfter(':', "").trim().toLongOrNull() ?: break
                parts += PromptPart(item.substringBefore(':').trim(), tokens)
            }
            return parts
        }
    }
}
