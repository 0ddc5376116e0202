package org.almondjunction.gateway

import java.io.ByteArrayOutputStream

/**
 * Splits a stream of bytes into complete server-sent events and records the identity of the last one.
 *
 * An event ends with an empty line and has a field. Lines without a known field, such as comments, belong to the event that follows.
 */
internal class EventSplitter {
    private var pending = ByteArrayOutputStream()
    private val line = EventLine()

    /** Whether a field stands between the last empty line and the end of the received bytes. */
    private var hasField = false

    /** Whether the received bytes end with an empty line. */
    private var afterEmptyLine = true

    /** Identity of the last complete event that has one; null before that. */
    var lastEvent: String? = null
        private set

    /** Whether the received bytes end inside an event or a comment. */
    val hasIncompleteEvent: Boolean get() = !afterEmptyLine

    /** Number of buffered bytes that have been received since the last complete event. */
    val pendingBytes: Int get() = pending.size()

    /** Returns the bytes of the events that [bytes] completes; empty if there are none. */
    fun feed(bytes: ByteArray): ByteArray {
        var completeUntil = 0
        for (index in bytes.indices) {
            if (bytes[index] == LINE_FEED) {
                if (line.isEmpty && hasField) completeUntil = index + 1
                hasField = !line.isEmpty && (hasField || line.isField)
                afterEmptyLine = line.isEmpty
                line.clear()
            } else {
                line.add(bytes[index])
                afterEmptyLine = false
            }
        }
        if (completeUntil == 0) {
            pending.write(bytes)
            return EMPTY
        }
        pending.write(bytes, 0, completeUntil)
        val complete = pending.toByteArray()
        pending = ByteArrayOutputStream().apply { write(bytes, completeUntil, bytes.size - completeUntil) }
        recordIdentity(complete)
        return complete
    }

    private fun recordIdentity(complete: ByteArray) {
        val text = String(complete, Charsets.ISO_8859_1)
        val start = if (text.startsWith(ID_FIELD)) 0 else text.lastIndexOf("\n$ID_FIELD").let { if (it < 0) return else it + 1 }
        val last = maxOf(start, text.lastIndexOf("\n$ID_FIELD") + 1)
        // A carriage return alone ends a line too, and must not get into the header that carries the identity.
        lastEvent = text.substring(last + ID_FIELD.length, text.indexOfAny(LINE_ENDS, last)).trim()
    }

    /** Removes and returns the bytes after the last complete event. */
    fun takePending(): ByteArray = pending.toByteArray().also { discardIncompleteEvent() }

    /** Discards the bytes of an incomplete event, which another target sends again. */
    fun discardIncompleteEvent() {
        pending = ByteArrayOutputStream()
        line.clear()
        hasField = false
        afterEmptyLine = true
    }

    companion object {
        /** Maximum size of one event: far above the few tokens that it contains, far below the memory of a process. */
        const val MAXIMUM_EVENT_BYTES = 256 * 1024
        private val EMPTY = ByteArray(0)
        private const val ID_FIELD = "id:"
        private val LINE_ENDS = charArrayOf('\n', '\r')
        private const val LINE_FEED = '\n'.code.toByte()
    }
}
