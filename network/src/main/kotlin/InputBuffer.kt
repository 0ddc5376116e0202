package org.almondjunction.network

import java.nio.ByteBuffer

/** Bytes in order of arrival: filled at the end, taken from the front. */
public class InputBuffer {
    private var bytes = ByteArray(INITIAL_BYTES)
    private var start = 0
    private var end = 0

    /** Number of bytes that wait. */
    public val size: Int get() = end - start

    /** Returns the waiting byte at [index]. */
    public operator fun get(index: Int): Byte = bytes[start + index]

    internal fun space(): ByteBuffer {
        if (start == end) {
            start = 0
            end = 0
        }
        if (bytes.size - end < SMALLEST_READ_BYTES) makeRoom()
        return ByteBuffer.wrap(bytes, end, bytes.size - end)
    }

    internal fun filled(count: Int) {
        end += count
    }

    private fun makeRoom() {
        val waiting = size
        val target = if (waiting * 2 > bytes.size) ByteArray(bytes.size * 2) else bytes
        System.arraycopy(bytes, start, target, 0, waiting)
        bytes = target
        start = 0
        end = waiting
    }

    /** Takes [count] bytes, which must be waiting. */
    public fun take(count: Int): ByteArray = bytes.copyOfRange(start, start + count).also { skip(count) }

    /** Drops [count] bytes, which must be waiting. */
    public fun skip(count: Int) {
        check(count in 0..size) { "Cannot skip $count of $size bytes." }
        start += count
    }

    /** Takes [count] bytes as text in ISO 8859-1, in which each byte is one character. */
    public fun takeText(count: Int): String = String(bytes, start, count, Charsets.ISO_8859_1).also { skip(count) }

    /** Returns the index of the line feed that ends the line from [from] on; -1 while it has not arrived. */
    public fun indexOfLineFeed(from: Int): Int {
        for (index in start + from until end) if (bytes[index] == LINE_FEED) return index - start
        return -1
    }

    private companion object {
        const val INITIAL_BYTES = 4_096
        const val SMALLEST_READ_BYTES = 1_024
        const val LINE_FEED = '\n'.code.toByte()
    }
}
