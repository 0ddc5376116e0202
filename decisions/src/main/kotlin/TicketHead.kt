package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import org.almondjunction.common.TicketNumber

/**
 * The object that orders all accepted tickets.
 *
 * @property sequence number of tickets accepted so far
 * @property recent numbers of the last accepted tickets, oldest first; the last has the sequence [sequence]
 * @property snapshotSequence sequence of the latest complete snapshot of the catalogue; 0 when there is none
 */
@Serializable
public data class TicketHead(
    val sequence: Long = 0,
    val recent: List<TicketNumber> = emptyList(),
    val snapshotSequence: Long = 0,
    val lastNumber: TicketNumber = TicketNumber(0),
) {
    /** Sequence of the oldest ticket in [recent]. */
    val firstRecentSequence: Long get() = sequence - recent.size + 1

    /** Returns the head after [number] was accepted. */
    public fun accept(number: TicketNumber): TicketHead = copy(sequence = sequence + 1, recent = recent + number, lastNumber = number)

    /** Returns the sequence of [number] if it is among the recent tickets. */
    public fun sequenceOf(number: TicketNumber): Long? = recent.indexOf(number).takeIf { it >= 0 }?.let { firstRecentSequence + it }

    /** Returns the head without the tickets up to [snapshot], which must be kept in a snapshot and in log pages. */
    public fun trim(snapshot: Long): TicketHead {
        val drop = (snapshot - firstRecentSequence + 1 - RECENT_KEPT).coerceIn(0, recent.size.toLong()).toInt()
        return copy(recent = recent.drop(drop), snapshotSequence = maxOf(snapshotSequence, snapshot))
    }

    public companion object {
        /** Tickets below the snapshot that stay in [recent], for processes that are slightly behind. */
        public const val RECENT_KEPT: Long = 64

        /** Maximum number of entries of [recent]; beyond it no ticket is accepted until a snapshot is written. */
        public const val RECENT_LIMIT: Int = 4_096
    }
}
