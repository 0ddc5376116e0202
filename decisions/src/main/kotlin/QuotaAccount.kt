package org.almondjunction.decisions

import org.almondjunction.common.HostTime

/** Grants that one gateway holds for one tenant, and its requests that wait for units, in their order. */
public class QuotaAccount(
    private val tenant: String,
    private var bounds: QuotaBounds,
    private var version: Long,
) {
    /** A request that waits for [cost] units. */
    public class Waiter internal constructor(
        public val cost: Long,
    ) {
        /** What it took; null while it waits. */
        public var charge: QuotaCharge? = null
            internal set
    }

    private val grants = ArrayDeque<HeldGrant>()
    private val waiting = ArrayDeque<Waiter>()
    private val demand = DecayingRate(DEMAND_DECAY_MS)
    private val backlog = BacklogRate()

    /** When the coordinator expects to have units for the requests that it could not grant. */
    private var availableMs = 0L
    private var askAgainMs = 0L
    private var askedAheadMs = Long.MIN_VALUE / 2

    /** Number of requests that wait. */
    public val waiters: Int get() = waiting.size

    /** Units that may be spent at [now]. */
    public fun available(now: HostTime): Long {
        grants.removeAll { it.leftMs(now) <= 0 || it.units == 0L }
        return grants.sumOf { it.units }
    }

    /** Applies the limits of the configuration in force; grants under other limits are given up, since they may exceed the new ones. */
    public fun update(
        changed: QuotaBounds,
        changedVersion: Long,
    ) {
        if (changed != bounds) {
            grants.forEach { it.discarded = true }
            grants.clear()
        }
        if (changedVersion != version) {
            askAgainMs = 0
            askedAheadMs = Long.MIN_VALUE / 2
        }
        bounds = changed
        version = changedVersion
    }

    /**
     * Serves a request of [cost] units at once, or lets it wait behind the others.
     *
     * Returns null if it costs more than the quota ever grants at once, or if those before it need most of [patienceMs]. Admitting it then
     * would favour small requests, which still find units shortly before their time ends, over large ones.
     */
    public fun request(
        cost: Long,
        patienceMs: Long,
        now: HostTime,
    ): Waiter? {
        demand.add(cost.coerceAtMost(Int.MAX_VALUE.toLong()).toInt(), now.monotonicMs)
        if (cost > bounds.largestCost || waiting.size >= MAXIMUM_WAITERS || expectedWaitMs(now) > patienceMs * QUEUE_SHARE) return null
        val waiter = Waiter(cost)
        waiting.addLast(waiter)
        serve(now)
        return waiter
    }

    /** Returns the time after which a further request will probably find units. */
    public fun retryMs(now: HostTime): Long = maxOf(expectedWaitMs(now), availableMs - now.monotonicMs)

    private fun expectedWaitMs(now: HostTime): Long =
        (waiting.sumOf { it.cost } / backlog.perSecond(bounds.ratePerSecond, now.monotonicMs) * MILLISECONDS_PER_SECOND).toLong()

    /** Ends the wait of [waiter], and puts back what it may have taken; returns the requests that this serves. */
    public fun cancel(
        waiter: Waiter,
        now: HostTime,
    ): List<Waiter> {
        if (!waiting.remove(waiter)) waiter.charge?.let { return refund(it, now) }
        return serve(now)
    }

    /** Puts [charge] back into its grants, where their validity goes on; returns the requests that this serves. */
    public fun refund(
        charge: QuotaCharge,
        now: HostTime,
    ): List<Waiter> {
        for ((grant, units) in charge.parts) {
            grant.units += units
            if (grant !in grants && !grant.discarded) grants.addFirst(grant)
        }
        return serve(now)
    }

    /** Takes a grant that was requested at [asked]; returns the requests that it serves. */
    public fun receive(
        grant: QuotaGrant,
        lease: Long,
        asked: HostTime,
        now: HostTime,
    ): List<Waiter> {
        if (grant.waitMs > 0) availableMs = now.monotonicMs + grant.waitMs
        askAgainMs = now.monotonicMs + grant.waitMs.coerceIn(MINIMUM_REPEAT_MS, MAXIMUM_REPEAT_MS)
        if (grant.units > 0) grants.addLast(HeldGrant(lease, grant.batch, asked, grant.validityMs, grant.units))
        return serve(now)
    }

    /** Serves waiting requests in their order, so that a large one is not passed by small ones. */
    private fun serve(now: HostTime): List<Waiter> {
        val served = mutableListOf<Waiter>()
        while (true) {
            val next = waiting.firstOrNull() ?: break
            next.charge = take(next.cost, now) ?: break
            served += waiting.removeFirst()
        }
        backlog.record(served.sumOf { it.cost }, waiting.isNotEmpty(), now.monotonicMs)
        return served
    }

    private fun take(
        cost: Long,
        now: HostTime,
    ): QuotaCharge? {
        if (available(now) < cost) return null
        var missing = cost
        val parts = mutableListOf<Pair<HeldGrant, Long>>()
        for (grant in grants.sortedBy { it.leftMs(now) }) {
            val taken = minOf(missing, grant.units)
            grant.units -= taken
            missing -= taken
            if (taken > 0) parts += grant to taken
        }
        return QuotaCharge(parts)
    }

    /** Whether the coordinator should be asked at [now]. */
    public fun needsUnits(now: HostTime): Boolean =
        when {
            waiting.isNotEmpty() -> now.monotonicMs >= askAgainMs
            now.monotonicMs - askedAheadMs < AHEAD_INTERVAL_MS -> false
            grants.any { it.units > 0 && it.ending(now) } -> true
            else -> available(now) < wantedAhead(now) / LOW_DIVISOR
        }

    /** Demand within the validity of a grant. */
    private fun wantedAhead(now: HostTime): Long =
        (demand.perSecond(now.monotonicMs) * bounds.validityMs / MILLISECONDS_PER_SECOND).toLong()

    /** Returns what to ask for; grants near their end are given back. The result must be sent or dropped. */
    public fun want(now: HostTime): QuotaWant {
        val returned = if (waiting.isEmpty()) takeEnding(now) else emptyList()
        var held = available(now)
        val costs =
            waiting.take(MAXIMUM_COSTS).mapNotNull { waiter ->
                val covered = minOf(held, waiter.cost)
                held -= covered
                (waiter.cost - covered).takeIf { it > 0 }
            }
        askedAheadMs = now.monotonicMs
        askAgainMs = now.monotonicMs + MAXIMUM_REPEAT_MS
        val ahead = if (waiting.size > MAXIMUM_COSTS) 0 else (wantedAhead(now) - held).coerceAtLeast(0)
        return QuotaWant(tenant, version, bounds, costs, ahead, returned)
    }

    private fun takeEnding(now: HostTime): List<ReturnedUnits> =
        grants
            .filter { it.units > 0 && it.leftMs(now) > 0 && it.ending(now) }
            .map { grant -> ReturnedUnits(grant.lease, grant.batch, grant.units).also { grant.units = 0 } }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val DEMAND_DECAY_MS = 2_000.0

        /** Further requests are refused; a tenant that is so far over its limit would not get units in time. */
        const val MAXIMUM_WAITERS = 512

        /** Costs in one message; the next message has those behind them. */
        const val MAXIMUM_COSTS = 64

        /** Share of its patience that a request may spend behind others; the rest is for its own units. */
        const val QUEUE_SHARE = 0.5
        const val MINIMUM_REPEAT_MS = 10L
        const val MAXIMUM_REPEAT_MS = 200L
        const val AHEAD_INTERVAL_MS = 50L

        /** More is requested when less than half of what the demand needs is left. */
        const val LOW_DIVISOR = 2
    }
}
