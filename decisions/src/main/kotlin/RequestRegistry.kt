package org.almondjunction.decisions

import org.almondjunction.common.RequestId

/** What an agent knows of a request identity. */
public enum class RequestRecord {
    /** Never seen here; it is on record as active from now on. */
    NEW,

    /** Seen here before; it waits, runs or has ended. */
    KNOWN,

    /** Refused or withdrawn here; it never ran and never will. */
    REFUSED,
}

/**
 * Remembers request identities, so that a late or repeated copy never runs.
 *
 * Records outlive the longest delay after which a message is still taken, see [TransitGuard].
 */
public class RequestRegistry(
    private val retentionMs: Long = RETENTION_MS,
) {
    private data class Entry(
        val record: RequestRecord,
        val endedMs: Long?,
    )

    private val entries = LinkedHashMap<RequestId, Entry>()

    /** Notes that [id] arrived and returns what was known of it before. */
    public fun register(
        id: RequestId,
        nowMs: Long,
    ): RequestRecord {
        expire(nowMs)
        entries[id]?.let { return it.record }
        entries[id] = Entry(RequestRecord.KNOWN, endedMs = null)
        return RequestRecord.NEW
    }

    /** Notes that [id] did not run and never will. */
    public fun refuse(
        id: RequestId,
        nowMs: Long,
    ): Unit = put(id, Entry(RequestRecord.REFUSED, nowMs))

    /** Notes that [id] ran to some end. */
    public fun end(
        id: RequestId,
        nowMs: Long,
    ): Unit = put(id, Entry(RequestRecord.KNOWN, nowMs))

    /** Returns what is known of [id] without noting anything. */
    public fun find(id: RequestId): RequestRecord = entries[id]?.record ?: RequestRecord.NEW

    private fun put(
        id: RequestId,
        entry: Entry,
    ) {
        entries.remove(id)
        entries[id] = entry
    }

    private fun expire(nowMs: Long) {
        val iterator = entries.entries.iterator()
        while (iterator.hasNext()) {
            val endedMs = iterator.next().value.endedMs ?: continue
            if (nowMs - endedMs < retentionMs) return
            iterator.remove()
        }
    }

    public companion object {
        /** Default time for which an ended request is remembered. */
        public const val RETENTION_MS: Long = 4 * TransitGuard.MAXIMUM_TRANSIT_MS
    }
}
