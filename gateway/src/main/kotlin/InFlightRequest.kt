package org.almondjunction.gateway

/**
 * A request in flight at a target.
 *
 * @property retryable whether it may be retried at another target as long as no part of its response has arrived
 * @property callerIdleTimeoutMs time after which its caller disconnects if it receives nothing
 * @property lastProgressMs when the request arrived, or its caller last received a part of the response
 */
internal class InFlightRequest(
    val model: String?,
    val adapter: String?,
    val promptTokens: Long,
    val retryable: Boolean = false,
    private val callerIdleTimeoutMs: Long = Long.MAX_VALUE / 2,
    var lastProgressMs: Long = 0,
) {
    var startedMs = 0L

    /** When the first part of its response arrived; null before that. */
    var answeringMs: Long? = null
    val answering: Boolean get() = answeringMs != null

    /** Cancels the request at its target; may be called more than once. */
    var cancel: () -> Unit = {}

    /** Time without activity of its target and the keeper there after which the target counts as silent. */
    val silenceLimitMs: Long get() = if (model == null) PLAIN_SILENCE_MS else ENGINE_SILENCE_MS

    /** Cancels the request at a target that no longer accepts requests, if it may be retried at another one. */
    fun cancelIfRetryable() {
        if (retryable && !answering) cancel()
    }

    /** Cancels the request at a silent target: to retry it elsewhere, or to send an error response before its caller disconnects. */
    fun cancelIfOverdue(nowMs: Long) {
        if (nowMs - lastProgressMs >= callerIdleTimeoutMs - FINAL_RESPONSE_MS) return cancel()
        if (nowMs - startedMs >= silenceLimitMs) cancelIfRetryable()
    }

    companion object {
        /** A keeper answers each usage report, every 500 ms while requests are in flight; includes the delay between regions. */
        const val ENGINE_SILENCE_MS = 1_300L

        /** Twice the latency objective of a short request in the users' requirements. */
        private const val PLAIN_SILENCE_MS = 600L

        /** Time for a response to reach a caller before it disconnects: the interval of silence checks and some one-way delays. */
        private const val FINAL_RESPONSE_MS = 250L
    }
}
