package org.almondjunction.decisions

/**
 * Token buckets of the tenants of one shard, kept by its coordinator for the time of one lease.
 *
 * @param lease identity of the lease
 */
public class QuotaLedger(
    private val lease: Long,
) {
    private class Entry(
        val bucket: QuotaBucket,
        var askedMs: Long,
    )

    private val entries = LinkedHashMap<String, Entry>(INITIAL_ENTRIES, LOAD_FACTOR, true)

    /** Answers what [gateway] wants for one tenant; null if its limits are not usable or there are too many tenants. */
    public fun answer(
        gateway: String,
        want: QuotaWant,
        nowMs: Long,
    ): QuotaGrant? {
        if (!want.bounds.valid || want.costs.any { it < 0 }) return null
        val entry = entries[want.tenant] ?: add(want, nowMs) ?: return null
        entry.askedMs = nowMs
        return entry.bucket.answer(gateway, want, lease, nowMs)
    }

    private fun add(
        want: QuotaWant,
        nowMs: Long,
    ): Entry? {
        val eldest = entries.entries.firstOrNull()
        if (entries.size >= MAXIMUM_TENANTS && eldest != null) {
            if (nowMs - eldest.value.askedMs < RETENTION_MS) return null
            entries -= eldest.key
        }
        return Entry(QuotaBucket(want.version, want.bounds, nowMs), nowMs).also { entries[want.tenant] = it }
    }

    private companion object {
        const val MAXIMUM_TENANTS = 4_096
        const val INITIAL_ENTRIES = 64
        const val LOAD_FACTOR = 0.75f

        /** All grants have expired by then, and gateways name each tenant in force more often. */
        const val RETENTION_MS = 10_000L
    }
}
