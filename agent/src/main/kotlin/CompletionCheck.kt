package org.almondjunction.agent

/** Forwards an engine's answer to [answer] and checks that it is complete: an event stream must end with its terminator. */
internal class CompletionCheck(
    private val answer: AnswerSink,
) : AnswerSink {
    private var headSent = false
    private var stream = false
    private var tail = ByteArray(0)

    /** Number of bytes forwarded so far. */
    var length = 0L
        private set

    /** Whether the answer is complete; always true for an answer that is not an event stream. */
    val complete: Boolean get() = !stream || tail.decodeToString().endsWith(TERMINATOR)

    override fun head(
        status: Int,
        contentType: String?,
    ) {
        if (headSent) return
        headSent = true
        stream = contentType.orEmpty().startsWith("text/event-stream")
        answer.head(status, contentType)
    }

    override fun append(bytes: ByteArray) {
        length += bytes.size
        tail = (tail + bytes.takeLast(TERMINATOR.length)).let { it.copyOfRange(maxOf(0, it.size - TERMINATOR.length), it.size) }
        answer.append(bytes)
    }

    private fun ByteArray.takeLast(count: Int): ByteArray = copyOfRange(maxOf(0, size - count), size)

    private companion object {
        const val TERMINATOR = "data: [DONE]\n\n"
    }
}
