package org.almondjunction.gateway

import java.io.ByteArrayOutputStream

/** Splits a stream of bytes into complete server-sent events and records the identity of the last one. */
internal class EventSplitter {
    private var pending = ByteArrayOutputStream()
    private var lineEmpty = true

    /** Identity of the last complete event that has one; null before that. */
    var lastEvent: String? = null
        private set

    /** Whether bytes of an incomplete event are buffered. */
    val hasIncompleteEvent: Boolean get() = pending.size() > 0

    /** Number of buffered bytes of the incomplete event. */
    val pendingBytes: Int get() = pending.size()

    /** Returns the bytes of the events that [bytes] completes; empty if there are none. */
    fun feed(bytes: ByteArray): ByteArray {
        var completeUntil = 0
        for (index in bytes.indices) {
            when (bytes[index]) {
                LINE_FEED -> {
                    if (lineEmpty) completeUntil = index + 1
                    lineEmpty = true
                }
                CARRIAGE_RETURN -> Unit
                else -> lineEmpty = false
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

    /** Discards the bytes of an incomplete event, which another target sends again. */
    fun discardIncompleteEvent() {
        pending = ByteArrayOutputStream()
        lineEmpty = true
    }

    companion object {
        /** Maximum size of one event: far above the few tokens that it contains, far below the memory of a process. */
        const val MAXIMUM_EVENT_BYTES = 256 * 1024
        private val EMPTY = ByteArray(0)
        private const val ID_FIELD = "id:"
        private val LINE_ENDS = charArrayOf('\n', '\r')
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
