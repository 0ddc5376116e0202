package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import org.almondjunction.common.AdapterId
import org.almondjunction.common.HostId
import org.almondjunction.common.ModelId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TicketNumber
import org.almondjunction.common.ZoneId

/**
 * A change ticket: the complete new state of everything that it names.
 *
 * Models that a ticket does not name keep their state.
 *
 * @property number given by operators; must be above the number of the last accepted ticket
 * @property models models offered from now on, each with its complete state
 * @property withdrawn models no longer offered
 * @property retiredHosts hosts that operators declare permanently shut down; the rights of their targets may be granted to others
 */
@Serializable
public data class Ticket(
    val number: TicketNumber,
    val models: List<ModelOffer> = emptyList(),
    val withdrawn: List<ModelId> = emptyList(),
    val retiredHosts: List<HostId> = emptyList(),
) {
    /** Returns the faults of this ticket, each with key and message; empty when it can be accepted. */
    public fun faults(): List<TicketFault> =
        buildList {
            if (number.value < 1) add(TicketFault("number", "Found $number; expected a whole number from 1."))
            if (models.isEmpty() && withdrawn.isEmpty() && retiredHosts.isEmpty()) {
                add(TicketFault("models", "The ticket changes nothing; name a model, a withdrawal or a retired host."))
            }
            models.forEachIndexed { index, offer -> addAll(offer.faults("models[$index]")) }
            duplicates(models.map { it.model }).forEach { add(TicketFault("models", "The model \"$it\" is named twice.")) }
            models.map { it.model }.intersect(withdrawn.toSet()).forEach {
                add(TicketFault("withdrawn", "The model \"$it\" is both offered and withdrawn."))
            }
        }

    private fun <T> duplicates(values: List<T>): Set<T> = values.groupBy { it }.filterValues { it.size > 1 }.keys
}

/** One fault in a ticket. */
@Serializable
public data class TicketFault(
    val key: String,
    val message: String,
)

/**
 * The complete state of one offered model.
 *
 * @property service service whose targets may load the model
 * @property version version that is served; other versions are unloaded
 * @property memoryMb accelerator memory of one replica, in megabytes
 * @property replicas maximum number of replicas loaded at any time
 * @property priority 0 (lowest) to 9 (highest)
 * @property zones zones whose targets may load the model; empty for all
 */
@Serializable
public data class ModelOffer(
    val model: ModelId,
    val service: ServiceId,
    val version: String,
    val memoryMb: Long,
    val replicas: Int = 1,
    val priority: Int = 5,
    val zones: List<ZoneId> = emptyList(),
    val adapters: List<AdapterOffer> = emptyList(),
) {
    internal fun faults(path: String): List<TicketFault> =
        buildList {
            if (model.value.isBlank()) add(TicketFault("$path.model", "The model has no name."))
            if (version.isBlank()) add(TicketFault("$path.version", "The version is empty."))
            if (memoryMb !in
                MEMORY_MB
            ) {
                add(TicketFault("$path.memory_mb", "Found $memoryMb; expected ${MEMORY_MB.first} to ${MEMORY_MB.last} megabytes."))
            }
            if (replicas !in
                REPLICAS
            ) {
                add(TicketFault("$path.replicas", "Found $replicas; expected ${REPLICAS.first} to ${REPLICAS.last}."))
            }
            if (priority !in
                PRIORITIES
            ) {
                add(TicketFault("$path.priority", "Found $priority; expected ${PRIORITIES.first} to ${PRIORITIES.last}."))
            }
            if (adapters.map { it.adapter }.toSet().size != adapters.size) add(TicketFault("$path.adapters", "An adapter is named twice."))
        }

    public companion object {
        /** Permitted memory of one replica, in megabytes. */
        public val MEMORY_MB: LongRange = 1L..16_000_000L

        /** Permitted number of replicas. */
        public val REPLICAS: IntRange = 0..10_000

        /** Permitted priorities, highest last. */
        public val PRIORITIES: IntRange = 0..9
    }
}

/**
 * An adapter that is served with its base model.
 *
 * @property memoryMb accelerator memory, in megabytes
 */
@Serializable
public data class AdapterOffer(
    val adapter: AdapterId,
    val version: String,
    val memoryMb: Long = 64,
)
