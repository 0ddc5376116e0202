package org.almondjunction.decisions

import org.almondjunction.common.RequestId

/** What an agent has recorded of a request identity. */
public enum class RequestRecord {
    /** Not seen here before; recorded as active from now on. */
    NEW,

    /** Seen here before; it is waiting, running or has ended. */
    KNOWN,

    /** Refused or withdrawn here; it never ran and never will. */
    REFUSED,
}

/**
 * Records request identities, so that a delayed or duplicate copy never runs.
 *
 * Records outlive the longest delay of a message that is still accepted, see [TransitGuard].
 */
public class RequestRegistry(
    private val retentionMs: Long = RETENTION_MS,
) {
    private data class Entry(
        val record: RequestRecord,
        val endedMs: Long?,
    )

    private val entries = LinkedHashMap<RequestId, Entry>()

    /** Records that [id] arrived and returns what was recorded of it before. */
    public fun register(
        id: RequestId,
        nowMs: Long,
    ): RequestRecord {
        expire(nowMs)
        entries[id]?.let { return it.record }
        entries[id] = Entry(RequestRecord.KNOWN, endedMs = null)
        return RequestRecord.NEW
    }

    /** Records that [id] did not run and never will. */
    public fun refuse(
        id: RequestId,
        nowMs: Long,
    ): Unit = put(id, Entry(RequestRecord.REFUSED, nowMs))

    /** Records that [id] ran and ended. */
    public fun end(
        id: RequestId,
        nowMs: Long,
    ): Unit = put(id, Entry(RequestRecord.KNOWN, nowMs))

    /** Returns what is recorded of [id], without changing it. */
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
        /** Default time for which the record of an ended request is kept. */
        public const val RETENTION_MS: Long = 4 * TransitGuard.MAXIMUM_TRANSIT_MS
    }
}
