package org.almondjunction.entry

import io.ktor.network.selector.SelectorManager
import io.ktor.server.engine.EmbeddedServer
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.common.SystemClock
import org.almondjunction.objectstore.HttpObjectStore
import org.almondjunction.protocol.Listener
import java.util.concurrent.atomic.AtomicBoolean

/** Process of one entry host: serves callers and operators, and runs the controllers while it holds the controller lease. */
public class EntryProcess(
    private val settings: EntrySettings,
    token: String,
    private val clock: Clock = SystemClock,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val metrics = Metrics()
    private val store = HttpObjectStore(settings.platform, metrics)
    private val holder = StateHolder()
    private val state = StateController(settings, holder, store, selector, clock, metrics, scope)
    private val members = MembershipController(settings, holder, store)
    private val peers = PeerQueries(settings, holder, selector, metrics, scope)
    private val internal = InternalServer(settings, holder, state, RightsReleaser(store, holder), members, clock, metrics, scope)
    private val leader =
        LeaderController(
            settings,
            holder,
            store,
            clock,
            scope,
            SnapshotWriter(store),
            DepartureController(settings.settlingMs, clock, peers::lastContacts),
        )
    private val drain = DrainState()
    private val dispatcher = Dispatcher(settings, holder, TargetLinks(settings, selector, clock, metrics, scope), drain, clock, metrics)
    private val handle = chain(listOf(ReadinessFilter(holder, drain), IdempotencyFilter(store, drain, scope)), dispatcher::dispatch)
    private val callers = CallerServer(settings, holder, drain, handle, clock, metrics).create()
    private val admin =
        AdminServer(
            settings,
            token,
            holder,
            drain,
            TicketService(store, peers),
            StatusService(settings, holder, state, leader, peers, clock),
            metrics,
        ).create()
    private val stopped = CompletableDeferred<Unit>()
    private val stopping = AtomicBoolean()
    private lateinit var listener: Job

    /** Starts serving; throws when an address is in use. */
    public suspend fun start() {
        listener =
            Listener(selector, scope, metrics).listen(
                settings.internal,
                onMessage = { connection, message -> internal.onMessage(connection, message) },
                onClosed = { connection -> internal.onClosed(connection) },
            )
        state.start()
        internal.start()
        leader.start()
        scope.launch { members.register() }
        metrics.gauge(MetricName.STATE_SEQUENCE) { holder.view.catalogue.sequence }
        admin.start(wait = false)
        callers.start(wait = false)
        EventLog.info("entry host started", LogFields(outcome = settings.host.value))
    }

    /** Begins a graceful stop; a second call ends requests in progress with explicit errors. */
    public fun requestStop() {
        if (!stopping.compareAndSet(false, true)) return drain.end()
        scope.launch {
            drain.stopRequested = true
            drain.runUntilEnd { delay(settings.drainNoticeMs) }
            drain.refuse()
            releaseStored("controllers' lease") { leader.resign() }
            withTimeoutOrNull(settings.drainLimitMs) { drain.runUntilEnd { awaitIdle() } }
            drain.end()
            withTimeoutOrNull(END_TIMEOUT_MS) { awaitIdle() }
            delay(FLUSH_DELAY_MS)
            listener.cancel()
            internal.closeAll()
            releaseStored("membership") { members.unregister() }
            stopped.complete(Unit)
        }
    }

    /** Runs [step], which releases an object in the object store. An object that cannot be decoded is left to the other processes. */
    private suspend fun releaseStored(
        what: String,
        step: suspend () -> Unit,
    ) = try {
        step()
    } catch (failure: SerializationException) {
        EventLog.warn("stored object not released on shutdown", LogFields(reason = failure.message, extra = mapOf("what" to what)))
    }

    private suspend fun awaitIdle() {
        while (drain.busy) delay(DRAIN_CHECK_INTERVAL_MS)
    }

    /** Suspends until a requested stop is complete. */
    public suspend fun awaitStop() {
        stopped.await()
        EventLog.info("entry host stopped", LogFields(outcome = settings.host.value))
        listOf<EmbeddedServer<*, *>>(callers, admin).forEach { it.stop(0, SERVER_STOP_TIMEOUT_MS) }
        scope.cancel()
        store.close()
        selector.close()
    }

    private companion object {
        const val DRAIN_CHECK_INTERVAL_MS = 50L
        const val SERVER_STOP_TIMEOUT_MS = 300L

        /** Time for requests that were ended to be answered; longer than the timeouts of a dial and of a call to the object store. */
        const val END_TIMEOUT_MS = 5_000L

        /** Time for the HTTP server to send the end of the last answers; it does not report when it has. */
        const val FLUSH_DELAY_MS = 500L
    }
}
