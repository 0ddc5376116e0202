package org.almondjunction.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.HostClock
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.decisions.CoordinatorSearch
import org.almondjunction.decisions.QuotaAccount
import org.almondjunction.decisions.QuotaBounds
import org.almondjunction.decisions.QuotaCharge
import org.almondjunction.decisions.QuotaLimits
import org.almondjunction.decisions.TokenQuota
import org.almondjunction.keeper.KeeperMessage
import kotlin.random.Random

/** Charges requests to the quotas of their tenants, with units that the coordinators among the keepers grant. */
internal class QuotaClient(
    private val clock: HostClock,
    private val registry: TargetRegistry,
    private val state: GatewayState,
    private val names: HeaderNames,
    private val limits: QuotaLimits,
    private val metrics: Metrics,
    private val random: Random = Random.Default,
) {
    private val shards =
        List(CoordinatorSearch.SHARDS) { QuotaShardClient(it, { registry.connectedKeepers }, registry::requestQuotas, metrics) }
    private val waiting = mutableMapOf<QuotaAccount.Waiter, CompletableDeferred<QuotaCharge>>()
    private var appliedVersion: Long? = null

    init {
        registry.onQuotaReply = ::receive
    }

    /** Asks the coordinators; runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            applyConfiguration()
            shards.forEach { it.step(clock.now()) }
            delay(if (shards.all { it.idle }) IDLE_STEP_MS else STEP_MS)
        }
    }

    private fun applyConfiguration() {
        val configuration = state.configuration ?: return
        if (configuration.version == appliedVersion) return
        appliedVersion = configuration.version
        val limited =
            configuration.apiKeys
                ?.tenants
                .orEmpty()
                .filter { it.quota != null }
        limited.forEach { tenant -> tenant.quota?.let { accountOf(tenant, it).update(QuotaBounds.of(it, limits), configuration.version) } }
        val tenants = limited.mapTo(mutableSetOf()) { it.name }
        shards.forEach { it.retain(tenants) }
    }

    private fun shardOf(tenant: Tenant) = shards[CoordinatorSearch.shardOf(tenant.name)]

    /**
     * Returns the account of [tenant].
     *
     * A request may come from a configuration that is no longer in force, so [quota] counts only for a new account, and as the oldest.
     */
    private fun accountOf(
        tenant: Tenant,
        quota: TokenQuota,
    ): QuotaAccount = shardOf(tenant).account(tenant.name) { QuotaAccount(tenant.name, QuotaBounds.of(quota, limits), version = 0) }

    /** Charges [request] to the quota of its tenant; waits for units for a part of the time until its deadline. */
    suspend fun admit(request: ForwardedRequest): QuotaAdmission {
        val tenant = request.tenant
        val quota = tenant?.quota ?: return admitted(null, null)
        applyConfiguration()
        val account = accountOf(tenant, quota)
        val cost = QuotaCost.of(quota, request.head.headers.all(names.tokens))
        val leftMs = request.responseDeadlineMs - clock.now().monotonicMs
        val patienceMs = (leftMs / PATIENCE_DIVISOR).coerceIn(0, MAXIMUM_PATIENCE_MS)
        if (waiting.size >= MAXIMUM_WAITING) return refused(account, shardOf(tenant), clock.now().monotonicMs)
        val startedMs = clock.now().monotonicMs
        val waiter = account.request(cost, patienceMs, clock.now()) ?: return refused(account, shardOf(tenant), startedMs)
        waiter.charge?.let { return admitted(account, it) }
        return await(account, waiter, shardOf(tenant), patienceMs) ?: refused(account, shardOf(tenant), startedMs)
    }

    private suspend fun await(
        account: QuotaAccount,
        waiter: QuotaAccount.Waiter,
        shard: QuotaShardClient,
        patienceMs: Long,
    ): QuotaAdmission? {
        val served = CompletableDeferred<QuotaCharge>()
        waiting[waiter] = served
        var taken = false
        try {
            shard.step(clock.now())
            val charge = withTimeoutOrNull(patienceMs) { served.await() } ?: return null
            taken = true
            return admitted(account, charge)
        } finally {
            waiting -= waiter
            // The caller has disconnected or its time is over: what it may have taken goes to the others.
            if (!taken) resume(account.cancel(waiter, clock.now()))
        }
    }

    private fun admitted(
        account: QuotaAccount?,
        charge: QuotaCharge?,
    ): QuotaAdmission {
        if (charge != null) metrics.count(MetricName.QUOTA_GRANTED)
        return QuotaAdmission.Admitted(account, charge, ::refund)
    }

    private fun refund(
        account: QuotaAccount,
        charge: QuotaCharge,
    ) {
        metrics.count(MetricName.QUOTA_RETURNED, "not sent", charge.units.toDouble())
        resume(account.refund(charge, clock.now()))
    }

    /** The tenant is over its limit only if a coordinator has answered since [sinceMs], or just before. */
    private fun refused(
        account: QuotaAccount,
        shard: QuotaShardClient,
        sinceMs: Long,
    ): QuotaAdmission {
        val recentMs = minOf(sinceMs, clock.now().monotonicMs - RECENT_MS)
        if ((shard.answeredMs ?: return noCoordinator()) < recentMs) return noCoordinator()
        metrics.count(MetricName.QUOTA_REFUSED, "over limit")
        val waitMs = account.retryMs(clock.now()).coerceIn(MINIMUM_RETRY_MS, MAXIMUM_RETRY_MS)
        return QuotaAdmission.OverLimit(jittered(waitMs))
    }

    private fun noCoordinator(): QuotaAdmission {
        metrics.count(MetricName.QUOTA_REFUSED, "no coordinator")
        return QuotaAdmission.NoCoordinator(jittered(RETRY_WITHOUT_COORDINATOR_MS))
    }

    /** Only lengthens the time, so that units are available by then; callers of a tenant do not return at once. */
    private fun jittered(durationMs: Long): Long = durationMs + random.nextLong(durationMs / 2 + 1)

    private fun receive(reply: KeeperMessage.QuotaReply) {
        shards.getOrNull(reply.shard)?.let { resume(it.receive(reply, clock.now())) }
    }

    private fun resume(served: List<QuotaAccount.Waiter>): Unit =
        served.forEach { waiter -> waiter.charge?.let { waiting[waiter]?.complete(it) } }

    private companion object {
        const val STEP_MS = 20L

        /** Without accounts only a new configuration is awaited; requests take it up themselves. */
        const val IDLE_STEP_MS = 500L

        /** The wait for units takes at most this part of the time until the deadline. */
        const val PATIENCE_DIVISOR = 4
        const val MAXIMUM_PATIENCE_MS = 3_000L

        /** Bounds the memory of requests that wait for units; with their bodies, they also count against the budget for buffers. */
        const val MAXIMUM_WAITING = 4_096

        /** A coordinator is asked at least every 200 ms while a request waits, so an answer that is not older shows that it is there. */
        const val RECENT_MS = 500L
        const val MINIMUM_RETRY_MS = 200L
        const val MAXIMUM_RETRY_MS = 60_000L

        /** A new coordinator exists about 3 s after the end of its predecessor. */
        const val RETRY_WITHOUT_COORDINATOR_MS = 1_000L
    }
}
