package org.almondjunction.decisions

import org.almondjunction.common.HostTime

/** One shard of the tenants at one keeper, which is its coordinator while it holds the lease. */
public class QuotaShard(
    holder: String,
    incarnation: Long,
) {
    private val lease = QuotaLease(holder, incarnation)
    private var ledger: QuotaLedger? = null
    private var ledgerLease: Long? = null
    private var asked: HostTime? = null

    /** Host of the coordinator, as far as this keeper knows, if it is another one. */
    public val other: String? get() = lease.other

    /** Record of the lease that this keeper has last read; null if it has read none or is the coordinator. */
    public val observed: LeaseRecord? get() = lease.observed

    /** Identity of the lease that this keeper holds at [now]; null if it is not the coordinator. */
    public fun heldId(now: HostTime): Long? = lease.heldId(now)

    /** Records that a gateway has asked for quotas of the shard, which makes this keeper a candidate. */
    public fun recordAsked(now: HostTime) {
        asked = now
    }

    /** Returns the call to the store that is due; null if none is, or if no gateway has asked recently. */
    public fun next(now: HostTime): LeaseCall? {
        val sinceAskedMs = asked?.longestMsUntil(now) ?: return null
        return if (sinceAskedMs < INTEREST_MS) lease.next(now) else null
    }

    /** Takes the answer to the last call. */
    public fun receive(
        answer: LeaseAnswer,
        now: HostTime,
    ): Unit = lease.receive(answer, now)

    /** Records an era of the store that another call has shown. */
    public fun learnEra(era: Long): Unit = lease.learnEra(era)

    /** Answers what [gateway] wants for one tenant; null if this keeper is not the coordinator or cannot answer. */
    public fun answer(
        gateway: String,
        want: QuotaWant,
        now: HostTime,
    ): QuotaGrant? {
        val id = lease.heldId(now)
        if (id != ledgerLease) ledger = id?.let { QuotaLedger(it) }
        ledgerLease = id
        return ledger?.answer(gateway, want, now.monotonicMs)
    }

    private companion object {
        /** Gateways ask every second while a tenant with a quota is in force; without them, the lease is not renewed. */
        const val INTEREST_MS = 3_500L
    }
}
