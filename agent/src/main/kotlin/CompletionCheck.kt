package org.almondjunction.agent

/** Passes an engine's answer on and tells whether it is whole: an event stream must end with its terminator. */
internal class CompletionCheck(
    private val answer: AnswerSink,
) : AnswerSink {
    private var headSent = false
    private var stream = false
    private var tail = ByteArray(0)

    /** Bytes passed on so far. */
    var length = 0L
        private set

    /** Whether the answer ended where it should. */
    val whole: Boolean get() = !stream || tail.decodeToString().endsWith(TERMINATOR)

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
