package org.almondjunction.decisions

/** A gateway's choice of the keeper that it asks for the quotas of one shard. */
public class CoordinatorSearch(
    private val shard: Int,
) {
    private var current: String? = null
    private var unanswered = 0

    /** Whether the keeper that is asked has said that it is the coordinator. */
    public var found: Boolean = false
        private set

    /** Returns the keeper to ask, one of [reachable]; null if there is none. */
    public fun keeper(reachable: Collection<String>): String? {
        if (current !in reachable) select(Rendezvous.order("quota-$shard", reachable) { it }.firstOrNull())
        return current
    }

    /** Records that the current keeper is the coordinator. */
    public fun answered() {
        unanswered = 0
        found = true
    }

    /** Records that the current keeper is not the coordinator; [other] is, if it is known. */
    public fun redirected(
        other: String?,
        reachable: Collection<String>,
    ) {
        unanswered = 0
        found = false
        if (other != null && other in reachable) select(other)
    }

    /** Records that the current keeper has not answered in time; after two such requests the next one is asked. */
    public fun unanswered(reachable: Collection<String>) {
        if (++unanswered < REQUESTS_UNTIL_NEXT) return
        val order = Rendezvous.order("quota-$shard", reachable) { it }
        if (order.isNotEmpty()) select(order[(order.indexOf(current) + 1) % order.size])
    }

    private fun select(keeper: String?) {
        current = keeper
        unanswered = 0
        found = false
    }

    public companion object {
        /** Time within which a keeper answers; several times the latency between regions. */
        public const val ANSWER_TIMEOUT_MS: Long = 300

        private const val REQUESTS_UNTIL_NEXT = 2

        /** Number of shards that the tenants are divided into. */
        public const val SHARDS: Int = 4

        /** Returns the shard of [tenant]. */
        public fun shardOf(tenant: String): Int = Math.floorMod(StableHash.of("quota-tenant", tenant), SHARDS.toLong()).toInt()
    }
}
