package org.almondjunction.network

import java.nio.ByteBuffer

/** First-in, first-out buffer of received bytes. */
public class InputBuffer {
    private var bytes = ByteArray(INITIAL_BYTES)
    private var start = 0
    private var end = 0

    /** Number of unread bytes. */
    public val size: Int get() = end - start

    /** Returns the unread byte at [index]. */
    public operator fun get(index: Int): Byte = bytes[start + index]

    internal fun writableSpace(): ByteBuffer {
        if (start == end) {
            start = 0
            end = 0
        }
        if (bytes.size - end < MINIMUM_READ_BYTES) compactOrGrow()
        return ByteBuffer.wrap(bytes, end, bytes.size - end)
    }

    internal fun commit(count: Int) {
        end += count
    }

    private fun compactOrGrow() {
        val unread = size
        val target = if (unread * 2 > bytes.size) ByteArray(bytes.size * 2) else bytes
        System.arraycopy(bytes, start, target, 0, unread)
        bytes = target
        start = 0
        end = unread
    }

    /** Removes and returns the first [count] unread bytes; [count] must not exceed [size]. */
    public fun take(count: Int): ByteArray = bytes.copyOfRange(start, start + count).also { skip(count) }

    /** Discards the first [count] unread bytes; [count] must not exceed [size]. */
    public fun skip(count: Int) {
        check(count in 0..size) { "Cannot skip $count of $size bytes." }
        start += count
    }

    /** Removes [count] bytes and returns them as ISO 8859-1 text, in which each byte is one character. */
    public fun takeText(count: Int): String = String(bytes, start, count, Charsets.ISO_8859_1).also { skip(count) }

    /** Returns the index of the first line feed at or after [from]; -1 when none has been received yet. */
    public fun indexOfLineFeed(from: Int): Int {
        for (index in start + from until end) if (bytes[index] == LINE_FEED) return index - start
        return -1
    }

    private companion object {
        const val INITIAL_BYTES = 4_096
        const val MINIMUM_READ_BYTES = 1_024
        const val LINE_FEED = '\n'.code.toByte()
    }
}
