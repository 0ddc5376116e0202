package org.almondjunction.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.HostId
import org.almondjunction.common.LogFields
import org.almondjunction.decisions.ClusterView
import org.almondjunction.decisions.Lease
import org.almondjunction.decisions.LeaseAction
import org.almondjunction.decisions.LeaseObserver
import org.almondjunction.decisions.Placement
import org.almondjunction.decisions.PlacementInput
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.RightsShard
import org.almondjunction.decisions.StoreCall
import org.almondjunction.decisions.StoreKeys
import org.almondjunction.decisions.StoreReply
import org.almondjunction.objectstore.ObjectStore

/** Runs the controllers while this process holds the lease. Every write is conditional on the version that the decision was based on. */
internal class LeaderController(
    private val settings: EntrySettings,
    private val holder: StateHolder,
    private val store: ObjectStore,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val snapshots: SnapshotWriter,
    private val departures: DepartureController,
) {
    private val observer = LeaseObserver(settings.host.value, settings.leaseMs)
    private var version = 0L
    private var heldLease: Lease? = null

    /** Whether this process held the lease at the last check. */
    @Volatile
    var leading: Boolean = false
        private set

    fun start() {
        scope.launch {
            while (true) {
                checkLease()
                delay(if (leading) settings.leaseMs / RENEWALS_PER_LEASE else standbyIntervalMs())
            }
        }
        scope.launch { runControllers() }
    }

    /** Releases the lease so that another process can acquire it at once. */
    suspend fun resign() {
        if (!leading) return
        leading = false
        val found = store.call(StoreCall.Read(StoreKeys.CONTROLLER_LEASE)) as? StoreReply.Found ?: return
        val lease = Json.decodeFromString<Lease>(found.value)
        version = found.version
        if (lease.holder == settings.host.value) write(lease.copy(holder = ""))
    }

    /** Candidates later in the order check less often, which limits the number of reads in a large fleet. */
    private fun standbyIntervalMs(): Long = minOf(settings.leaseMs / CHECKS_PER_LEASE * (1 + candidateIndex()), MAXIMUM_STANDBY_MS)

    private fun candidateIndex(): Int {
        val hosts =
            holder.view.fleet.hosts
                .filter { it.entry != null }
                .map { it.host }
        return Rendezvous.order("controller", hosts) { it.value }.indexOf(settings.host).coerceAtLeast(0)
    }

    private suspend fun checkLease() {
        if (leading && renew()) return
        val current =
            when (val reply = store.call(StoreCall.Read(StoreKeys.CONTROLLER_LEASE))) {
                is StoreReply.Found -> Json.decodeFromString<Lease>(reply.value).also { version = reply.version }
                StoreReply.Absent -> null.also { version = 0 }
                is StoreReply.Written, StoreReply.Conflict, StoreReply.Lost -> return
            }
        val acquired =
            when (val action = observer.observe(current, clock.nowMs())) {
                LeaseAction.Wait -> false
                is LeaseAction.Write -> write(action.lease)
            }
        if (acquired !=
            leading
        ) {
            EventLog.info(if (acquired) "controller lease acquired" else "controller lease lost", LogFields(outcome = settings.host.value))
        }
        leading = acquired
    }

    /** Renews the lease without reading it first; returns false when the lease must be read. */
    private suspend fun renew(): Boolean {
        val current = heldLease ?: return false
        return write(current.copy(renewal = current.renewal + 1))
    }

    private suspend fun write(lease: Lease): Boolean {
        val value = Json.encodeToString(Lease.serializer(), lease)
        val call =
            if (version == 0L) {
                StoreCall.Create(StoreKeys.CONTROLLER_LEASE, value)
            } else {
                StoreCall.Replace(StoreKeys.CONTROLLER_LEASE, value, version)
            }
        val reply = store.call(call)
        heldLease = lease.takeIf { reply is StoreReply.Written }
        if (reply is StoreReply.Written) version = reply.version
        return reply is StoreReply.Written
    }

    private suspend fun runControllers() {
        var plannedView: ClusterView? = null
        var plannedMs = 0L
        while (true) {
            delay(CONTROL_INTERVAL_MS)
            val view = holder.view
            val due = view !== plannedView || clock.nowMs() - plannedMs >= REPLAN_INTERVAL_MS
            if (!leading || !due || !view.ready || view.fleetVersion == 0L) continue
            place(view, departures.departedHosts(view))
            snapshots.writeIfDue(view)
            plannedView = view
            plannedMs = clock.nowMs()
        }
    }

    private suspend fun place(
        view: ClusterView,
        departedHosts: Set<HostId>,
    ) {
        val input =
            PlacementInput(
                catalogue = view.catalogue,
                fleet = view.fleet,
                shards = (0 until RightsShard.COUNT).associateWith { view.shards[it]?.shard ?: RightsShard() },
                hostOfLostTarget = view.hostOfLostTarget,
                provenEmptyHosts = departedHosts,
            )
        Placement.plan(input).forEach { (index, shard) ->
            val key = StoreKeys.rights(index)
            val value = Json.encodeToString(RightsShard.serializer(), shard)
            val observed = view.shards[index]?.version
            store.call(if (observed == null) StoreCall.Create(key, value) else StoreCall.Replace(key, value, observed))
        }
    }

    private companion object {
        const val RENEWALS_PER_LEASE = 3
        const val CHECKS_PER_LEASE = 4
        const val MAXIMUM_STANDBY_MS = 30_000L
        const val CONTROL_INTERVAL_MS = 200L

        /** Time after which the same state is planned again, since a write may have been lost. */
        const val REPLAN_INTERVAL_MS = 3_000L
    }
}
