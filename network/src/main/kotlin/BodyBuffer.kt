package org.almondjunction.network

/**
 * Collects the parts of one body in few arrays, so that its memory is at most twice its size plus [MINIMUM_SEGMENT_BYTES], however small
 * the parts are.
 *
 * @param reservation the memory of all arrays is reserved here before they are created; null for bodies without a budget
 */
internal class BodyBuffer(
    private val reservation: ByteBudget.Reservation? = null,
) {
    private class Segment(
        val bytes: ByteArray,
        var size: Int,
    )

    private val segments = mutableListOf<Segment>()

    /** Number of bytes that were appended. */
    var size: Long = 0
        private set

    /** Appends [part], which must not be changed afterwards; returns false if the budget has no room for it. */
    fun append(part: ByteArray): Boolean {
        val last = segments.lastOrNull()
        val fitting = if (last == null) 0 else minOf(part.size, last.bytes.size - last.size)
        val rest = part.size - fitting
        if (rest > 0 && !addSegment(part, fitting)) return false
        if (last != null) {
            part.copyInto(last.bytes, last.size, 0, fitting)
            last.size += fitting
        }
        size += part.size
        return true
    }

    /** Adds a segment with the bytes of [part] from [start] on, and room for as many bytes as there are already, within limits. */
    private fun addSegment(
        part: ByteArray,
        start: Int,
    ): Boolean {
        val rest = part.size - start
        val wanted = if (segments.isEmpty()) rest else size.coerceIn(MINIMUM_SEGMENT_BYTES, MAXIMUM_SEGMENT_BYTES).toInt()
        val capacity = maxOf(rest, wanted)
        if (reservation?.grow(capacity) == false) return false
        val bytes = if (start == 0 && capacity == part.size) part else part.copyInto(ByteArray(capacity), 0, start)
        segments += Segment(bytes, rest)
        return true
    }

    /** Drops all bytes and what is reserved for them. */
    fun release() {
        reservation?.shrink(segments.sumOf { it.bytes.size.toLong() })
        segments.clear()
        size = 0
    }

    /** Returns all bytes in one array, which is not a copy if there was a single part. */
    fun toByteArray(): ByteArray {
        segments.singleOrNull()?.takeIf { it.size == it.bytes.size }?.let { return it.bytes }
        val bytes = ByteArray(size.toInt())
        var position = 0
        for (segment in segments) {
            segment.bytes.copyInto(bytes, position, 0, segment.size)
            position += segment.size
        }
        return bytes
    }

    private companion object {
        const val MINIMUM_SEGMENT_BYTES = 512L

        /** Bounds the unused memory at the end of large bodies. */
        const val MAXIMUM_SEGMENT_BYTES = 65_536L
    }
}
