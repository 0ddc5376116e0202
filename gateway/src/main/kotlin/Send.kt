package org.almondjunction.gateway

/**
 * A request in flight at a target.
 *
 * @property repeatable whether it may be retried at another target as long as no part of its response has arrived
 * @property patienceMs time after which its caller disconnects if it receives nothing
 * @property lastSignMs when the request arrived, or its caller last received a part of the response
 */
internal class Send(
    val model: String?,
    val adapter: String?,
    val promptTokens: Long,
    val repeatable: Boolean = false,
    private val patienceMs: Long = Long.MAX_VALUE / 2,
    var lastSignMs: Long = 0,
) {
    var beganMs = 0L
    var answering = false

    /** Cancels the request at its target; may be called more than once. */
    var leave: () -> Unit = {}

    /** Time without activity of its target and the keeper there after which the target counts as silent. */
    val silenceLimitMs: Long get() = if (model == null) PLAIN_SILENCE_MS else ENGINE_SILENCE_MS

    /** Cancels the request at a target that no longer accepts requests, if it may be retried at another one. */
    fun leaveIfRepeatable() {
        if (repeatable && !answering) leave()
    }

    /** Cancels the request at a silent target: to retry it elsewhere, or to send an error response before its caller disconnects. */
    fun leaveIfHopeless(nowMs: Long) {
        if (nowMs - lastSignMs >= patienceMs - LAST_WORD_MS) return leave()
        if (nowMs - beganMs >= silenceLimitMs) leaveIfRepeatable()
    }

    companion object {
        /** A keeper answers each usage report, every 500 ms while requests are in flight; includes the delay between regions. */
        const val ENGINE_SILENCE_MS = 1_300L

        /** Twice the latency objective of a short request in the users' requirements. */
        private const val PLAIN_SILENCE_MS = 600L

        /** Time for a response to reach a caller before it disconnects: the interval of silence checks and some one-way delays. */
        private const val LAST_WORD_MS = 250L
    }
}
