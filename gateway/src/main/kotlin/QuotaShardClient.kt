package org.almondjunction.gateway

import org.almondjunction.common.EventLog
import org.almondjunction.common.HostTime
import org.almondjunction.common.LogFields
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.decisions.CoordinatorSearch
import org.almondjunction.decisions.QuotaAccount
import org.almondjunction.keeper.KeeperMessage

/** One shard of the tenants at a gateway: their accounts, and the requests to the coordinator, one at a time. */
internal class QuotaShardClient(
    private val shard: Int,
    private val reachable: () -> Collection<String>,
    private val send: (ip: String, request: KeeperMessage.QuotaRequest) -> Unit,
    private val metrics: Metrics,
) {
    private class InFlight(
        val number: Long,
        val asked: HostTime,
    )

    private val accounts = LinkedHashMap<String, QuotaAccount>()
    private val search = CoordinatorSearch(shard)
    private var inFlight: InFlight? = null
    private var number = 0L
    private var lastAskedMs = Long.MIN_VALUE / 2
    private var followed: String? = null
    private var loggedSearch: Pair<String?, String?>? = null
    private var loggedSearchMs = Long.MIN_VALUE / 2

    /** Time of the last answer of a coordinator; null before the first one. */
    var answeredMs: Long? = null
        private set

    /** Whether there are no accounts, so that nothing is asked. */
    val idle: Boolean get() = accounts.isEmpty()

    /** Returns the account of [tenant], which is added if it is missing. */
    fun account(
        tenant: String,
        create: () -> QuotaAccount,
    ): QuotaAccount = accounts.getOrPut(tenant, create)

    /** Removes the accounts of tenants that are not among [tenants] and that no request waits for. */
    fun retain(tenants: Set<String>) {
        accounts.entries.removeIf { it.key !in tenants && it.value.waiters == 0 }
    }

    /** Asks the coordinator if that is due. */
    fun step(now: HostTime) {
        if (idle) return
        val pending = inFlight
        if (pending != null) {
            if (pending.asked.longestMsUntil(now) < CoordinatorSearch.ANSWER_TIMEOUT_MS) return
            inFlight = null
            search.unanswered(reachable())
        }
        val heartbeat = now.monotonicMs - lastAskedMs >= HEARTBEAT_MS
        if (!heartbeat && (now.monotonicMs - lastAskedMs < MINIMUM_INTERVAL_MS || accounts.values.none { it.needsUnits(now) })) return
        val keeper = search.keeper(reachable()) ?: return
        ask(keeper, now, heartbeat)
    }

    private fun ask(
        keeper: String,
        now: HostTime,
        heartbeat: Boolean,
    ) {
        lastAskedMs = now.monotonicMs
        val named = (if (heartbeat) accounts.entries.toList() else accounts.entries.filter { it.value.needsUnits(now) }).take(MAXIMUM_WANTS)
        // The accounts that were named come last in the next message, so that all are named in turn.
        if (accounts.size >
            MAXIMUM_WANTS
        ) {
            named.forEach { (tenant, account) -> accounts.remove(tenant).also { accounts[tenant] = account } }
        }
        inFlight = InFlight(++number, now)
        val wants = named.map { it.value.want(now) }
        val returned = wants.sumOf { want -> want.returned.sumOf { it.units } }
        if (returned > 0) metrics.count(MetricName.QUOTA_RETURNED, "unspent", returned.toDouble())
        send(keeper, KeeperMessage.QuotaRequest(shard, number, wants))
    }

    /** Takes [reply]; returns the requests that it serves. */
    fun receive(
        reply: KeeperMessage.QuotaReply,
        now: HostTime,
    ): List<QuotaAccount.Waiter> {
        val answered = inFlight?.takeIf { it.number == reply.number } ?: return emptyList()
        inFlight = null
        val lease = reply.lease
        if (lease == null) {
            logSearch(reply.coordinator, now)
            search.redirected(reply.coordinator, reachable())
            follow(null)
            lastAskedMs = now.monotonicMs - HEARTBEAT_MS + REPEAT_WITHOUT_COORDINATOR_MS
            return emptyList()
        }
        search.answered()
        answeredMs = now.monotonicMs
        follow(search.keeper(reachable()))
        return reply.grants.flatMap { accounts[it.tenant]?.receive(it, lease, answered.asked, now).orEmpty() }
    }

    /** Logs which keeper was asked in vain and which [named] host it knows as the coordinator, at most once in a heartbeat. */
    private fun logSearch(
        named: String?,
        now: HostTime,
    ) {
        val asked = search.keeper(reachable())
        if (asked to named == loggedSearch || now.monotonicMs - loggedSearchMs < HEARTBEAT_MS) return
        loggedSearch = asked to named
        loggedSearchMs = now.monotonicMs
        val extra = mapOf("shard" to shard.toString(), "keeper" to asked, "named" to (named ?: "none"))
        EventLog.info("quota coordinator searched", LogFields(extra = extra))
    }

    private fun follow(keeper: String?) {
        if (keeper == followed) return
        followed = keeper
        metrics.count(MetricName.QUOTA_COORDINATOR_CHANGES)
        EventLog.info("quota coordinator followed", LogFields(extra = mapOf("shard" to shard.toString(), "keeper" to (keeper ?: "none"))))
    }

    private companion object {
        const val HEARTBEAT_MS = 1_000L

        /** Keeps the number of messages low while many requests wait. */
        const val MINIMUM_INTERVAL_MS = 10L

        /** A keeper that is asked becomes the coordinator after about two seconds, and another one is named as soon as it is known. */
        const val REPEAT_WITHOUT_COORDINATOR_MS = 100L

        /** Accounts in one message; with [QuotaAccount]'s limit of costs for each, it stays below the maximum size of a message. */
        const val MAXIMUM_WANTS = 128
    }
}
