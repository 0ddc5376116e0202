package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import org.almondjunction.common.HostId
import org.almondjunction.common.ModelId
import org.almondjunction.common.TicketNumber

/**
 * What changed in a catalogue between two sequences, with the final state of everything that changed.
 *
 * It fits a catalogue at exactly [fromSequence], since it lacks what was both added and removed in between. From sequence 0 it is the
 * complete catalogue and fits every older one.
 */
@Serializable
public data class CatalogueChange(
    val fromSequence: Long,
    val sequence: Long,
    val lastNumber: TicketNumber,
    val offers: List<ModelOffer>,
    val withdrawn: List<ModelId>,
    val retiredHosts: Set<HostId>,
) {
    /** Whether changes between [catalogue] and this change are missing. */
    public fun leavesGap(catalogue: Catalogue): Boolean =
        fromSequence > 0 && catalogue.sequence != fromSequence && catalogue.sequence < sequence

    /** Returns [catalogue] at [sequence], or unchanged when it is newer or this change does not fit it. */
    public fun applyTo(catalogue: Catalogue): Catalogue =
        if (catalogue.sequence >= sequence || leavesGap(catalogue)) {
            catalogue
        } else {
            val base = if (fromSequence == 0L) Catalogue() else catalogue
            Catalogue(
                sequence = sequence,
                lastNumber = lastNumber,
                offers = base.offers + offers.associateBy { it.model } - withdrawn.toSet(),
                retiredHosts = base.retiredHosts + retiredHosts,
            )
        }

    public companion object {
        /** Returns the change from [old] to [new]; null when [new] is not newer. */
        public fun between(
            old: Catalogue,
            new: Catalogue,
        ): CatalogueChange? =
            if (new.sequence <= old.sequence) {
                null
            } else {
                CatalogueChange(
                    fromSequence = old.sequence,
                    sequence = new.sequence,
                    lastNumber = new.lastNumber,
                    offers = new.offers.values.filter { old.offers[it.model] != it },
                    withdrawn = (old.offers.keys - new.offers.keys).toList(),
                    retiredHosts = new.retiredHosts - old.retiredHosts,
                )
            }
    }
}
