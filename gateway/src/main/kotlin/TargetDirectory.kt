package org.almondjunction.gateway

import org.almondjunction.common.Address
import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.common.ZoneId

/**
 * What the platform's list says of a target.
 *
 * @property ready whether it takes requests; false while it is leaving
 * @property bornMs calendar time of its start, in milliseconds; tells two lives under one identity apart
 * @property sequence rises with each telling in one life
 * @property models adapters of each model that it held when it last told
 */
public data class TargetEntry(
    val target: TargetId,
    val service: ServiceId,
    val address: Address,
    val zone: ZoneId,
    val ready: Boolean,
    val slots: Int,
    val bornMs: Long,
    val sequence: Long,
    val models: Map<String, Set<String>>,
)

/**
 * The targets as the platform lists them.
 *
 * Entries that vanish while the list cannot be trusted are kept for [graceMs] after it can be trusted again.
 */
public class TargetDirectory(
    private val clock: Clock,
    private val graceMs: Long,
    private val onChange: (Change) -> Unit,
) {
    /** What changed. */
    public sealed class Change {
        /** A target appeared, or its entry changed. */
        public data class Put(
            val entry: TargetEntry,
        ) : Change()

        /** A target is gone. */
        public data class Removed(
            val target: TargetId,
        ) : Change()
    }

    private val entries = mutableMapOf<TargetId, TargetEntry>()
    private val lapsed = mutableMapOf<TargetId, Long>()
    private val occupants = mutableMapOf<Address, TargetId>()

    /**
     * Takes an entry; one that the target wrote before the one already known is left out.
     *
     * Where two targets are listed at one address, only the one that started later can be alive.
     */
    public fun put(entry: TargetEntry) {
        val known = entries[entry.target]
        if (known != null && isOlder(entry, known)) return
        val occupant = occupants[entry.address]?.takeIf { it != entry.target }?.let { entries[it] }
        if (occupant != null && occupant.bornMs > entry.bornMs) return drop(entry.target)
        if (occupant != null && occupant.bornMs < entry.bornMs) drop(occupant.target)
        if (known != null && known.address != entry.address) occupants.remove(known.address, entry.target)
        occupants[entry.address] = entry.target
        lapsed -= entry.target
        entries[entry.target] = entry
        if (known?.copy(sequence = entry.sequence) == entry) return
        log("target listed", entry.target, mapOf("ready" to entry.ready.toString(), "address" to entry.address.toString()))
        onChange(Change.Put(entry))
    }

    private fun isOlder(
        entry: TargetEntry,
        known: TargetEntry,
    ): Boolean =
        when {
            entry.bornMs != known.bornMs -> entry.bornMs < known.bornMs
            entry.sequence != known.sequence -> entry.sequence < known.sequence
            else -> entry.ready && !known.ready
        }

    /** Takes the removal of [target]; [trusted] is false when entries may have lapsed without their targets being gone. */
    public fun remove(
        target: TargetId,
        trusted: Boolean,
    ) {
        val entry = entries[target] ?: return
        if (trusted || !entry.ready) drop(target) else lapsed.putIfAbsent(target, clock.nowMs() + graceMs)
    }

    /** Takes the whole list. */
    public fun replaceAll(
        all: List<TargetEntry>,
        trusted: Boolean,
    ) {
        all.forEach { put(it) }
        val listed = all.map { it.target }.toSet()
        entries.keys.filter { it !in listed }.forEach { remove(it, trusted) }
    }

    /** Drops the lapsed entries whose time is over; to be called often. */
    public fun expire() {
        val nowMs = clock.nowMs()
        lapsed.filterValues { it <= nowMs }.keys.forEach { drop(it) }
    }

    private fun drop(target: TargetId) {
        lapsed -= target
        val entry = entries.remove(target) ?: return
        occupants.remove(entry.address, target)
        log("target gone", target, emptyMap())
        onChange(Change.Removed(target))
    }

    private fun log(
        message: String,
        target: TargetId,
        extra: Map<String, String>,
    ) = EventLog.info(message, LogFields(target = target, extra = extra))
}
