package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import org.almondjunction.common.AdapterId
import org.almondjunction.common.HostId
import org.almondjunction.common.ModelId
import org.almondjunction.common.TicketNumber

/**
 * The models offered after a number of accepted tickets.
 *
 * @property sequence number of tickets applied; orders all states of the catalogue
 * @property lastNumber number of the last ticket applied
 * @property retiredHosts hosts declared permanently shut down
 */
@Serializable
public data class Catalogue(
    val sequence: Long = 0,
    val lastNumber: TicketNumber = TicketNumber(0),
    val offers: Map<ModelId, ModelOffer> = emptyMap(),
    val retiredHosts: Set<HostId> = emptySet(),
) {
    /** Returns the catalogue after [ticket], which must be the next one accepted. */
    public fun apply(ticket: Ticket): Catalogue =
        Catalogue(
            sequence = sequence + 1,
            lastNumber = ticket.number,
            offers = offers + ticket.models.associateBy { it.model } - ticket.withdrawn.toSet(),
            retiredHosts = retiredHosts + ticket.retiredHosts,
        )

    /** Resolves the name that a caller gives as `model`, which may name an adapter; null when it is not offered. */
    public fun resolve(name: String): OfferedModel? {
        offers[ModelId(name)]?.let { return OfferedModel(it, adapter = null) }
        val base = adapterBases[AdapterId(name)] ?: return null
        return OfferedModel(base, base.adapters.first { it.adapter.value == name })
    }

    private val adapterBases: Map<AdapterId, ModelOffer> by lazy {
        offers.values.flatMap { offer -> offer.adapters.map { it.adapter to offer } }.toMap()
    }
}

/** A model, alone or with one of its adapters. */
public data class OfferedModel(
    val offer: ModelOffer,
    val adapter: AdapterOffer?,
)
