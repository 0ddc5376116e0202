package org.almondjunction.entry

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.decisions.Backoff
import org.almondjunction.decisions.CatalogueChange
import org.almondjunction.decisions.NO_REVISION
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.StateChange
import org.almondjunction.decisions.StoreKeys
import org.almondjunction.decisions.TicketHead
import org.almondjunction.objectstore.ObjectListing
import org.almondjunction.objectstore.ObjectStore
import org.almondjunction.protocol.Connection
import org.almondjunction.protocol.Message
import kotlin.random.Random

/**
 * Keeps the accepted state up to date.
 *
 * A few entry hosts of each zone watch the object store; the others follow one of these. While the object store does not answer,
 * every entry host follows a peer if one is reachable.
 */
internal class StateController(
    private val settings: EntrySettings,
    private val holder: StateHolder,
    private val store: ObjectStore,
    private val selector: SelectorManager,
    private val clock: Clock,
    private val metrics: Metrics,
    private val scope: CoroutineScope,
) {
    private val catalogues = CatalogueReader(store)
    private val backoff = Backoff(initialMs = 200, maximumMs = 5_000, random = Random.Default)
    private val confirmations = Channel<CompletableDeferred<Boolean>>(Channel.UNLIMITED)
    private var nextPeer = 0

    /** Time of the last answer of the object store; null before the first one. */
    @Volatile
    var lastAnswerMs: Long? = null
        private set

    fun start() {
        scope.launch { followState() }
        scope.launch { followFleet() }
        scope.launch { serveConfirmations() }
    }

    /** Waits for a read of the object store that began after this call; returns whether it succeeded and was applied. */
    suspend fun confirm(): Boolean = CompletableDeferred<Boolean>().also { confirmations.send(it) }.await()

    private suspend fun serveConfirmations() {
        for (first in confirmations) {
            val pending = mutableListOf(first)
            while (true) pending += confirmations.tryReceive().getOrNull() ?: break
            val confirmed = refresh()
            pending.forEach { it.complete(confirmed) }
            delay(CONFIRMATION_INTERVAL_MS / 2 + Random.nextLong(CONFIRMATION_INTERVAL_MS))
        }
    }

    private suspend fun followState() {
        while (true) {
            if (isWatcher()) {
                if (watch()) continue
                followAfterBackoff()
            } else if (!follow(FOLLOW_LIMIT_MS)) {
                watch()
            }
        }
    }

    private suspend fun followAfterBackoff() {
        delay(backoff.nextDelayMs())
        follow(OUTAGE_FOLLOW_LIMIT_MS)
    }

    private fun isWatcher(): Boolean {
        val hosts =
            holder.view.fleet.hosts
                .filter { it.entry != null && it.location.zone == settings.location.zone }
        val order = Rendezvous.order("watchers", hosts.map { it.host }) { it.value }
        return settings.host !in order || order.indexOf(settings.host) < WATCHERS_PER_ZONE
    }

    /** Waits for one change; returns false when the object store did not answer. */
    private suspend fun watch(): Boolean {
        val view = holder.view
        val listing =
            if (view.ready) store.watch(StoreKeys.WATCHED_PREFIX, view.revision, WATCH_TIMEOUT_MS) else store.list(StoreKeys.WATCHED_PREFIX)
        return listing != null && applyListing(listing)
    }

    private suspend fun refresh(): Boolean = store.list(StoreKeys.WATCHED_PREFIX)?.let { applyListing(it) } ?: false

    private suspend fun applyListing(listing: ObjectListing): Boolean {
        val head = listing.objects.firstOrNull { it.key == StoreKeys.HEAD }?.decode<TicketHead>()
        val known = holder.view.catalogue
        val catalogue = if (head == null) null else CatalogueChange.between(known, catalogues.catchUp(known, head) ?: return false)
        lastAnswerMs = clock.nowMs()
        backoff.reset()
        listing.objects.filterNot { it.decodable }.forEach {
            EventLog.warn("stored object ignored", LogFields(reason = "cannot be decoded", extra = mapOf("key" to it.key)))
        }
        holder.apply(StateChange(revision = listing.revision, objects = listing.objects, catalogue = catalogue))
        return true
    }

    private suspend fun followFleet() {
        while (true) {
            val version = holder.view.fleetVersion
            val listing = if (isWatcher()) store.hosts(version, if (version == 0L) 0 else WATCH_TIMEOUT_MS) else null
            if (listing == null) {
                delay(FLEET_RETRY_DELAY_MS + Random.nextLong(FLEET_RETRY_DELAY_MS))
            } else if (listing.version > version) {
                holder.apply(StateChange(revision = NO_REVISION, fleet = listing.fleet, fleetVersion = listing.version))
            }
        }
    }

    /** Follows one peer until it stops responding, for at most [durationMs]; returns false when no peer could be reached. */
    private suspend fun follow(durationMs: Long): Boolean {
        val peers = peers()
        if (peers.isEmpty()) return false
        val peer = peers[nextPeer++ % peers.size]
        var lastReceivedMs = clock.nowMs()
        val connection =
            Connection.dial(
                selector,
                peer,
                scope,
                metrics,
                onMessage = { peerConnection, message ->
                    lastReceivedMs = clock.nowMs()
                    if (message is Message.RelayedChange) applyRelayed(peerConnection, message.change)
                },
                onClosed = {},
            ) ?: return false
        val endMs = clock.nowMs() + durationMs
        connection.send(Message.Hello(settings.host.value, incarnation = ""))
        connection.send(Message.SubscribeAll(holder.view.revision))
        while (!connection.closed && clock.nowMs() - lastReceivedMs < PEER_TIMEOUT_MS && clock.nowMs() < endMs) {
            connection.send(Message.Ping(clock.nowMs()))
            delay(PEER_PING_INTERVAL_MS)
        }
        connection.close()
        metrics.count(MetricName.RECONNECTIONS, "peer")
        return true
    }

    private suspend fun applyRelayed(
        connection: Connection,
        change: StateChange,
    ) {
        if (change.catalogue?.leavesGap(holder.view.catalogue) == true) connection.send(Message.SubscribeAll(holder.view.revision))
        holder.apply(change)
    }

    private fun peers(): List<Address> {
        val hosts =
            holder.view.fleet.hosts.filter {
                it.entry != null &&
                    it.host != settings.host &&
                    it.location.zone == settings.location.zone
            }
        val watchers = Rendezvous.order("watchers", hosts) { it.host.value }.take(WATCHERS_PER_ZONE).mapNotNull { it.entry }
        return watchers.ifEmpty { settings.peers }
    }

    private companion object {
        const val WATCHERS_PER_ZONE = 2
        const val WATCH_TIMEOUT_MS = 25_000L
        const val CONFIRMATION_INTERVAL_MS = 1_000L
        const val FLEET_RETRY_DELAY_MS = 500L
        const val FOLLOW_LIMIT_MS = 3_600_000L
        const val OUTAGE_FOLLOW_LIMIT_MS = 4_000L
        const val PEER_PING_INTERVAL_MS = 500L
        const val PEER_TIMEOUT_MS = 2_000L
    }
}
