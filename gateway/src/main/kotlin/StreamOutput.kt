package org.almondjunction.gateway

import org.almondjunction.network.ResponseHead
import java.io.ByteArrayOutputStream

/** Writes the events of a stream to its caller: each as it arrives or, if [buffered], all of them when the stream is complete. */
internal class StreamOutput(
    private val answer: CallerAnswer,
) {
    private val events = ByteArrayOutputStream()
    private var firstHead: ResponseHead? = null

    /** Whether nothing is written before the stream is complete. */
    var buffered = false

    /** Number of bytes that wait for the end of the stream. */
    val bufferedBytes: Int get() = events.size()

    /** Writes [bytes] of a response with [head], or buffers them; returns false if the caller has disconnected. */
    suspend fun add(
        head: ResponseHead,
        bytes: ByteArray,
    ): Boolean {
        if (firstHead == null) firstHead = head
        if (buffered) {
            events.write(bytes, 0, bytes.size)
            return true
        }
        if (!answer.begun) answer.begin(head)
        return answer.add(bytes)
    }

    /** Ends the stream as complete; [head] is that of a response without events. */
    suspend fun end(head: ResponseHead) {
        if (!answer.begun) answer.begin(firstHead ?: head)
        answer.add(events.toByteArray())
        answer.end()
    }
}
