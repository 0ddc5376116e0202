package org.almondjunction.decisions

/**
 * Limits on the age of the proof that the configuration in force is the newest.
 *
 * @param revocationMs time after which a removed key must no longer be accepted on any host; null if only the bound of every change applies
 */
public class ApiKeyLimits(
    private val revocationMs: Long?,
) {
    /** Age from which a proof is stale; null if it never is. */
    public val staleMs: Long? = revocationMs?.let { (it - DELIVERY_MARGIN_MS).coerceAtLeast(0) }

    /** Wait of a watch of the configuration. */
    private val watchMs: Long = revocationMs?.let { strictWatchMs(it) } ?: PLAIN_WATCH_MS

    /** Age above which a proof no longer shows that an unknown key is unknown. */
    private val unknownKeyMs: Long = minOf(2 * watchMs, CONFIGURATION_BOUND_MS)

    /** Whether a key may be accepted with a proof of [proofAgeMs]. */
    public fun isFresh(proofAgeMs: Long?): Boolean = staleMs == null || (proofAgeMs != null && proofAgeMs <= staleMs)

    /** Whether an unknown key may be refused for good with a proof of [proofAgeMs]. */
    public fun mayRefuseUnknownKeys(proofAgeMs: Long?): Boolean = proofAgeMs != null && proofAgeMs <= unknownKeyMs

    /**
     * Wait of the next watch; null if the configuration must be listed instead.
     *
     * A watch from an old revision proves nothing while the store drops its history, and its answer to a suspended host comes late.
     */
    public fun nextWatchMs(proofAgeMs: Long?): Long? =
        if (revocationMs == null || (proofAgeMs != null && proofAgeMs <= watchMs + ROUND_TRIP_MS)) watchMs else null

    private companion object {
        /** Time for which a store that drops its history may deliver nothing to watches, 1 s, and the latency to the host. */
        const val DELIVERY_MARGIN_MS = 1_200L

        /** Wait of a watch without a limit on revocation. */
        const val PLAIN_WATCH_MS = 3_000L

        /** Time within which a host that reaches the store has the newest configuration in force. */
        const val CONFIGURATION_BOUND_MS = 4_000L

        /** Waits are at most the limit divided by this. */
        const val WATCHES_PER_LIMIT = 5

        /** A host that lost the store less than this share of the limit ago must still serve callers. */
        const val SERVED_SHARE = 0.6

        /** Two ways between a host and the store, and the time to process the answer. */
        const val ROUND_TRIP_MS = 100L
        const val SHORTEST_STRICT_WATCH_MS = 200L

        /** A proof is as old as one wait and one round trip when the store is lost, and then has to last for [SERVED_SHARE] of the limit. */
        fun strictWatchMs(revocationMs: Long): Long {
            val longestMs = revocationMs - DELIVERY_MARGIN_MS - ROUND_TRIP_MS - (SERVED_SHARE * revocationMs).toLong()
            return longestMs.coerceAtMost(revocationMs / WATCHES_PER_LIMIT).coerceAtLeast(SHORTEST_STRICT_WATCH_MS)
        }
    }
}
