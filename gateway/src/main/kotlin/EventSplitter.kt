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
    val unfinished: Boolean get() = pending.size() > 0

    /** Number of buffered bytes of the incomplete event. */
    val pendingBytes: Int get() = pending.size()

    /** Returns the bytes of the events that [bytes] completes; empty if there are none. */
    fun feed(bytes: ByteArray): ByteArray {
        var wholeUntil = 0
        for (index in bytes.indices) {
            when (bytes[index]) {
                LINE_FEED -> {
                    if (lineEmpty) wholeUntil = index + 1
                    lineEmpty = true
                }
                CARRIAGE_RETURN -> Unit
                else -> lineEmpty = false
            }
        }
        if (wholeUntil == 0) {
            pending.write(bytes)
            return EMPTY
        }
        pending.write(bytes, 0, wholeUntil)
        val whole = pending.toByteArray()
        pending = ByteArrayOutputStream().apply { write(bytes, wholeUntil, bytes.size - wholeUntil) }
        noteIdentity(whole)
        return whole
    }

    private fun noteIdentity(whole: ByteArray) {
        val text = String(whole, Charsets.ISO_8859_1)
        val start = if (text.startsWith(IDENTITY)) 0 else text.lastIndexOf("\n$IDENTITY").let { if (it < 0) return else it + 1 }
        val last = maxOf(start, text.lastIndexOf("\n$IDENTITY") + 1)
        lastEvent = text.substring(last + IDENTITY.length, text.indexOf('\n', last)).trim()
    }

    /** Discards the bytes of an incomplete event, which another target sends again. */
    fun dropUnfinished() {
        pending = ByteArrayOutputStream()
        lineEmpty = true
    }

    companion object {
        /** Maximum size of one event: far above the few tokens that it contains, far below the memory of a process. */
        const val MAXIMUM_EVENT_BYTES = 256 * 1024
        private val EMPTY = ByteArray(0)
        private const val IDENTITY = "id:"
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
