package org.almondjunction.keeper

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.almondjunction.common.EventLog
import org.almondjunction.common.HostClock
import org.almondjunction.common.LogFields
import org.almondjunction.decisions.CoordinatorSearch
import org.almondjunction.decisions.LeaseAnswer
import org.almondjunction.decisions.LeaseRecord
import org.almondjunction.decisions.QuotaShard
import org.almondjunction.network.launchRestarting

/**
 * Grants units of quotas to gateways, for the shards whose lease this keeper holds.
 *
 * @param host address of this host, by which gateways know its keeper
 * @param incarnation number of this process, different from that of any earlier process of the host
 */
public class QuotaCoordinator(
    private val scope: CoroutineScope,
    private val clock: HostClock,
    private val store: LeaseStore,
    private val host: String,
    private val incarnation: Long,
) {
    private val shards = List(CoordinatorSearch.SHARDS) { QuotaShard(host, incarnation) }
    private val logged = arrayOfNulls<Long>(CoordinatorSearch.SHARDS)
    private val loggedHolders = arrayOfNulls<LeaseRecord>(CoordinatorSearch.SHARDS)
    private var running = false

    /** Answers [request] of [gateway]; null if there is no such shard. */
    internal fun answer(
        gateway: String,
        request: KeeperMessage.QuotaRequest,
    ): KeeperMessage.QuotaReply? {
        val shard = shards.getOrNull(request.shard) ?: return null
        val now = clock.now()
        shard.recordAsked(now)
        start()
        logChange(request.shard)
        val lease = shard.heldId(now) ?: return KeeperMessage.QuotaReply(request.shard, request.number, coordinator = shard.other)
        val grants = request.wants.mapNotNull { shard.answer(gateway, it, now) }
        return KeeperMessage.QuotaReply(request.shard, request.number, lease, grants = grants)
    }

    /** No call to the store is made before a gateway asks. */
    private fun start() {
        if (running) return
        running = true
        scope.launchRestarting("quota leases") {
            while (true) {
                shards.indices.forEach { step(it) }
                delay(STEP_MS)
            }
        }
    }

    private fun step(index: Int) {
        logChange(index)
        val call = shards[index].next(clock.now()) ?: return
        scope.launch {
            var answer: LeaseAnswer = LeaseAnswer.Lost
            try {
                answer = store.call("$NAME_PREFIX$index", call)
            } finally {
                shards[index].receive(answer, clock.now())
            }
            answer.era?.let { era -> shards.forEach { it.learnEra(era) } }
            logChange(index)
        }
    }

    private fun logChange(index: Int) {
        logObserved(index)
        val held = shards[index].heldId(clock.now())
        if (held == logged[index]) return
        logged[index] = held
        val extra = mapOf("shard" to index.toString(), "lease" to held?.toString())
        EventLog.info(if (held != null) "quota coordinator: lease gained" else "quota coordinator: lease lost", LogFields(extra = extra))
    }

    /** Logs another holder that was read from the store, without its renewals, with the host that gateways are told to ask instead. */
    private fun logObserved(index: Int) {
        val holder = shards[index].observed?.copy(renewals = 0) ?: return
        if (holder == loggedHolders[index]) return
        loggedHolders[index] = holder
        val extra =
            mapOf(
                "shard" to index.toString(),
                "holder" to holder.holder,
                "incarnation" to holder.incarnation.toString(),
                "term" to holder.term.toString(),
                "ownIncarnation" to incarnation.toString(),
                "named" to (shards[index].other ?: "none"),
            )
        EventLog.info("quota lease observed", LogFields(extra = extra))
    }

    private companion object {
        const val NAME_PREFIX = "shard-"

        /** Well below the time between two calls for one lease. */
        const val STEP_MS = 50L
    }
}
