package org.almondjunction.gateway

import org.almondjunction.common.Address
import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.common.ZoneId

/**
 * Entry of a target in the platform's list.
 *
 * @property ready whether it accepts requests; false while it is draining
 * @property startedMs calendar time of its start, in milliseconds; distinguishes incarnations with the same identity
 * @property sequence increases with each report of one incarnation
 * @property models models that it held at its last report, with their adapters
 * @property softwareVersion version of its software; null if it tells none. What targets of two versions write does not fit together
 */
public data class TargetEntry(
    val target: TargetId,
    val service: ServiceId,
    val address: Address,
    val zone: ZoneId,
    val ready: Boolean,
    val slots: Int,
    val startedMs: Long,
    val sequence: Long,
    val models: Map<String, Set<String>>,
    val softwareVersion: String? = null,
)

/**
 * Targets listed by the platform.
 *
 * An entry that was removed is used again only with a later start or a higher sequence, since the platform's list may come back from an
 * older copy. One that was kept beyond its disappearance, since its target may be running, is used again as it was.
 *
 * @param isConfigured whether a service is in the configuration in force; [updateServices] must be called when that changes
 */
public class TargetDirectory(
    private val clock: Clock,
    private val isConfigured: (ServiceId) -> Boolean = { true },
    private val onChange: (Change) -> Unit,
) {
    /** Change of the directory. */
    public sealed class Change {
        /** A target was added, or its entry changed. */
        public data class Put(
            val entry: TargetEntry,
        ) : Change()

        /** A target was removed. */
        public data class Removed(
            val target: TargetId,
        ) : Change()
    }

    private val entries = mutableMapOf<TargetId, TargetEntry>()
    private val retained = mutableMapOf<TargetId, Long>()
    private val targetsByAddress = mutableMapOf<Address, TargetId>()
    private val removed = RemovedTargets()

    /**
     * Adds or replaces the entry of a target; an entry older than the known one is ignored.
     *
     * Of two targets of configured services listed at one address, only the one that started later is kept, since the other can no longer
     * be running. An entry of any other service says nothing about the targets at its address.
     */
    public fun put(entry: TargetEntry) {
        val known = entries[entry.target]
        if (known != null && isOlder(entry, known)) return
        if (known == null && removed.covers(entry)) return
        if (!claimAddress(entry)) return drop(entry.target)
        if (known != null && known.address != entry.address) targetsByAddress.remove(known.address, entry.target)
        retained -= entry.target
        entries[entry.target] = entry
        if (known?.copy(sequence = entry.sequence) == entry) return
        log("target listed", entry.target, mapOf("ready" to entry.ready.toString(), "address" to entry.address.toString()))
        onChange(Change.Put(entry))
    }

    /** Records [entry] as the target at its address and removes an earlier one; returns false if a later one is known there. */
    private fun claimAddress(entry: TargetEntry): Boolean {
        if (!isConfigured(entry.service)) return true
        val other = targetsByAddress[entry.address]?.takeIf { it != entry.target }?.let { entries[it] }
        if (other != null && isConfigured(other.service)) {
            if (other.startedMs > entry.startedMs) return false
            if (other.startedMs < entry.startedMs) removeForGood(other)
        }
        targetsByAddress[entry.address] = entry.target
        return true
    }

    /** Decides again which targets are kept where several are listed at one address. */
    public fun updateServices() {
        entries.values.toList().forEach { if (it.target in entries && !claimAddress(it)) drop(it.target) }
    }

    private fun isOlder(
        entry: TargetEntry,
        known: TargetEntry,
    ): Boolean =
        when {
            entry.startedMs != known.startedMs -> entry.startedMs < known.startedMs
            entry.sequence != known.sequence -> entry.sequence < known.sequence
            else -> entry.ready && !known.ready
        }

    /** Removes [target] at [keepUntilMs], until when it may be listed again, or immediately if that is null or past or it is draining. */
    public fun remove(
        target: TargetId,
        keepUntilMs: Long? = null,
    ) {
        val entry = entries[target] ?: return
        if (keepUntilMs != null && keepUntilMs > clock.nowMs() && entry.ready) {
            retained.putIfAbsent(target, keepUntilMs)
        } else {
            removeForGood(entry)
        }
    }

    /** Replaces the complete list; targets that are not in it are removed as by [remove]. */
    public fun replaceAll(
        all: List<TargetEntry>,
        keepUntilMs: Long? = null,
    ) {
        all.forEach { put(it) }
        val listed = all.map { it.target }.toSet()
        entries.keys.filter { it !in listed }.forEach { remove(it, keepUntilMs) }
    }

    /** Drops the entries whose retention time has passed; must be called periodically. */
    public fun expire() {
        val nowMs = clock.nowMs()
        retained.filterValues { it <= nowMs }.keys.forEach { drop(it) }
    }

    private fun removeForGood(entry: TargetEntry) {
        removed.add(entry)
        drop(entry.target)
    }

    private fun drop(target: TargetId) {
        retained -= target
        val entry = entries.remove(target) ?: return
        targetsByAddress.remove(entry.address, target)
        log("target removed", target, emptyMap())
        onChange(Change.Removed(target))
    }

    private fun log(
        message: String,
        target: TargetId,
        extra: Map<String, String>,
    ) = EventLog.info(message, LogFields(target = target, extra = extra))
}
