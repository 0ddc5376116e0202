package org.almondjunction.network

/** Bounds the bytes that a process gathers for all its messages together, so that no peer can exhaust its memory. */
public class ByteBudget(
    private val totalBytes: Long,
) {
    /** Bytes that are reserved now. */
    public var takenBytes: Long = 0
        private set

    /** Returns a reservation of nothing yet. */
    public fun reserve(): Reservation = Reservation()

    /** Bytes gathered for one message; to be closed when they are no longer held. */
    public inner class Reservation : AutoCloseable {
        private var heldBytes = 0L

        /** Adds [bytes]; returns false, and adds nothing, when the budget has no room for them. */
        public fun take(bytes: Int): Boolean = hold(heldBytes + bytes)

        /** Makes [bytes] the whole of what is held; returns false, and changes nothing, when the budget has no room for them. */
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
