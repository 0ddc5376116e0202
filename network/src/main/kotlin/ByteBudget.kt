package org.almondjunction.network

/** Limits the bytes that a process buffers for all messages together, so that no peer can exhaust its memory. */
public class ByteBudget(
    private val totalBytes: Long,
) {
    /** Number of bytes currently reserved. */
    public var takenBytes: Long = 0
        private set

    /** Returns an empty reservation. */
    public fun reserve(): Reservation = Reservation()

    /** Bytes reserved for one message; must be closed when the buffer is released. */
    public inner class Reservation : AutoCloseable {
        private var heldBytes = 0L

        /** Reserves [bytes] more; returns false, and changes nothing, when the budget has no room for them. */
        public fun take(bytes: Int): Boolean = hold(heldBytes + bytes)

        /** Sets the size of this reservation to [bytes]; returns false, and changes nothing, when the budget has no room for them. */
        public fun hold(bytes: Long): Boolean {
            if (takenBytes - heldBytes + bytes > totalBytes) return false
            takenBytes += bytes - heldBytes
            heldBytes = bytes
            return true
        }

        override fun close() {
            takenBytes -= heldBytes
            heldBytes = 0
        }
    }
}
