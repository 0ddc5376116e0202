package org.almondjunction.network

/** Limits the bytes that a process buffers for all messages together, so that no peer can exhaust its memory. */
public class ByteBudget(
    private val totalBytes: Long,
) {
    /** Number of bytes currently reserved. */
    public var reservedBytes: Long = 0
        private set

    /** Returns an empty reservation. */
    public fun newReservation(): Reservation = Reservation()

    /** Bytes reserved for one message; must be closed when the buffer is released. */
    public inner class Reservation : AutoCloseable {
        private var sizeBytes = 0L

        /** Reserves [bytes] more; returns false, and changes nothing, when the budget has no room for them. */
        public fun grow(bytes: Int): Boolean = resize(sizeBytes + bytes)

        /** Releases [bytes] of this reservation. */
        internal fun shrink(bytes: Long) {
            resize(sizeBytes - bytes)
        }

        /** Sets the size of this reservation to [bytes]; returns false, and changes nothing, when the budget has no room for them. */
        public fun resize(bytes: Long): Boolean {
            if (reservedBytes - sizeBytes + bytes > totalBytes) return false
            reservedBytes += bytes - sizeBytes
            sizeBytes = bytes
            return true
        }

        override fun close() {
            reservedBytes -= sizeBytes
            sizeBytes = 0
        }
    }
}
