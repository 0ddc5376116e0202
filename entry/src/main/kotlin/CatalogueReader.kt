package org.almondjunction.entry

import kotlinx.serialization.json.Json
import org.almondjunction.common.TicketNumber
import org.almondjunction.decisions.Catalogue
import org.almondjunction.decisions.CatalogueSnapshot
import org.almondjunction.decisions.StoreCall
import org.almondjunction.decisions.StoreKeys
import org.almondjunction.decisions.StoreReply
import org.almondjunction.decisions.Ticket
import org.almondjunction.decisions.TicketHead
import org.almondjunction.objectstore.ObjectStore

/** Updates a catalogue to a ticket head by reading the missing tickets, or a snapshot and the tickets after it. */
internal class CatalogueReader(
    private val store: ObjectStore,
) {
    /** Returns the catalogue at [head], starting from [known]; null when the object store did not answer. */
    suspend fun catchUp(
        known: Catalogue,
        head: TicketHead,
    ): Catalogue? {
        if (known.sequence >= head.sequence) return known
        val missing = head.sequence - known.sequence
        val start = if (missing > head.recent.size) snapshot(head.snapshotSequence) ?: return null else known
        val numbers = head.recent.takeLast((head.sequence - start.sequence).toInt())
        return numbers.fold(start) { catalogue, number -> catalogue.apply(ticket(number) ?: return null) }
    }

    private suspend fun ticket(number: TicketNumber): Ticket? =
        (store.call(StoreCall.Read(StoreKeys.ticket(number))) as? StoreReply.Found)?.let { Json.decodeFromString<Ticket>(it.value) }

    private suspend fun snapshot(sequence: Long): Catalogue? {
        val parts = mutableListOf<CatalogueSnapshot>()
        do {
            val reply = store.call(StoreCall.Read(StoreKeys.snapshotPart(sequence, parts.size))) as? StoreReply.Found ?: return null
            parts += Json.decodeFromString<CatalogueSnapshot>(reply.value)
        } while (parts.size < parts.first().parts)
        return CatalogueSnapshot.join(parts)
    }
}
