package org.almondjunction.gateway

/**
 * A request on its way to a target or being answered there.
 *
 * @property repeatable whether it may be sent to another target while nothing of its answer has come
 * @property patienceMs time after which its caller leaves if nothing reaches it
 * @property lastSignMs when its caller came, or last got a part of the answer
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

    /** Ends it at its target; may be called more than once. */
    var leave: () -> Unit = {}

    /** Silence of its target and of the keeper there that is no longer a pause. */
    val silenceLimitMs: Long get() = if (model == null) PLAIN_SILENCE_MS else ENGINE_SILENCE_MS

    /** Leaves a target that no longer takes requests, if it is no harm to send it to another one. */
    fun leaveIfRepeatable() {
        if (repeatable && !answering) leave()
    }

    /** Leaves a silent target: for another one, or because its caller is about to leave and an answer of ours is better than none. */
    fun leaveIfHopeless(nowMs: Long) {
        if (nowMs - lastSignMs >= patienceMs - LAST_WORD_MS) return leave()
        if (nowMs - beganMs >= silenceLimitMs) leaveIfRepeatable()
    }

    companion object {
        /** A keeper answers each telling of uses, every 500 ms while requests are in flight; with the way between regions. */
        const val ENGINE_SILENCE_MS = 1_300L

        /** Twice the latency objective of a short request on the users' sheets. */
        private const val PLAIN_SILENCE_MS = 600L

        /** Time for an answer to reach a caller before it leaves: the interval of examination and some ways to it. */
        private const val LAST_WORD_MS = 250L
    }
}
