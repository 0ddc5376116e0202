package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import org.almondjunction.common.HostId
import org.almondjunction.common.TicketNumber

/**
 * One part of a complete catalogue, small enough for one object of the platform's object store.
 *
 * The parts of a sequence depend on the accepted tickets only, so that all writers write the same content.
 *
 * @property parts number of parts that belong together
 */
@Serializable
public data class CatalogueSnapshot(
    val sequence: Long,
    val lastNumber: TicketNumber,
    val parts: Int,
    val offers: List<ModelOffer>,
    val retiredHosts: List<HostId>,
) {
    public companion object {
        /** Models in one part; with up to a hundred adapters each, a part stays below one megabyte. */
        public const val OFFERS_PER_PART: Int = 100

        /** Returns [catalogue] in parts. */
        public fun split(catalogue: Catalogue): List<CatalogueSnapshot> {
            val groups =
                catalogue.offers.values
                    .sortedBy { it.model }
                    .chunked(OFFERS_PER_PART)
                    .ifEmpty { listOf(emptyList()) }
            val retired = catalogue.retiredHosts.sortedBy { it.value }
            return groups.mapIndexed { index, offers ->
                CatalogueSnapshot(catalogue.sequence, catalogue.lastNumber, groups.size, offers, if (index == 0) retired else emptyList())
            }
        }

        /** Returns the catalogue that [parts] were split from. */
        public fun join(parts: List<CatalogueSnapshot>): Catalogue =
            Catalogue(
                sequence = parts.first().sequence,
                lastNumber = parts.first().lastNumber,
                offers = parts.flatMap { it.offers }.associateBy { it.model },
                retiredHosts = parts.flatMap { it.retiredHosts }.toSet(),
            )
    }
}
