package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import org.almondjunction.common.TicketNumber

/** Numbers of accepted tickets with consecutive sequences; written once, when full, and never changed. */
@Serializable
public data class LogPage(
    val numbers: List<TicketNumber>,
) {
    public companion object {
        /** Tickets in one page. */
        public const val SIZE: Long = 64

        /** Returns the index of the page that holds [sequence], which counts from 1. */
        public fun indexOf(sequence: Long): Long = (sequence - 1) / SIZE

        /** Returns the sequence of the first ticket in page [index]. */
        public fun firstSequenceOf(index: Long): Long = index * SIZE + 1
    }
}
