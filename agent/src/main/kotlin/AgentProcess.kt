package org.almondjunction.agent

import io.ktor.http.HttpStatusCode
import io.ktor.network.selector.SelectorManager
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.common.SystemClock
import org.almondjunction.decisions.ResidencyPolicy
import org.almondjunction.decisions.TargetEvent
import org.almondjunction.decisions.TargetKind
import org.almondjunction.decisions.TargetMachine
import org.almondjunction.decisions.TargetState
import org.almondjunction.decisions.plainServiceState
import org.almondjunction.protocol.Listener
import java.util.UUID
import java.util.concurrent.atomic.AtomicBoolean

/** An agent: the only process that sends orders to its target. */
public class AgentProcess(
    private val settings: AgentSettings,
    private val clock: Clock = SystemClock,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val metrics = Metrics()
    private val incarnation = UUID.randomUUID().toString()
    private val backend = HttpBackend(settings.backend)
    private val limits = settings.limits.copy(orderSettleMs = if (settings.engineChecksFence) 0 else settings.limits.orderSettleMs)
    private val controller =
        TargetController(
            initial = initialState(),
            machine = TargetMachine(limits, ResidencyPolicy.LearnedGaps(settings.idleMsPerColdMs)),
            backend = backend,
            clock = clock,
            metrics = metrics,
            scope = scope,
            reportIntervalMs = settings.reportIntervalMs,
        )
    private val subscriber = StateSubscriber(settings, incarnation, controller, selector, clock, metrics, scope)
    private val server =
        RequestServer(settings.target, incarnation, controller, backend, clock, metrics, scope) { rights ->
            scope.launch { subscriber.releaseRights(rights) }
        }
    private val stopped = CompletableDeferred<Unit>()
    private val stopping = AtomicBoolean()
    private val forced = CompletableDeferred<Unit>()
    private lateinit var admin: EmbeddedServer<*, *>

    private fun initialState(): TargetState =
        when (settings.kind) {
            TargetKind.ENGINE -> TargetState(settings.memoryMb, startedMs = clock.nowMs())
            TargetKind.PLAIN -> plainServiceState(clock.nowMs())
        }

    /** Starts serving; throws if an address is in use. */
    public suspend fun start() {
        Listener(selector, scope, metrics).listen(
            settings.listen,
            onMessage = { connection, message -> server.onMessage(connection, message) },
            onClosed = { connection -> server.onClosed(connection) },
        )
        controller.start(server)
        scope.launch { subscriber.run() }
        registerGauges()
        admin = adminServer().also { it.start(wait = false) }
        EventLog.info("agent started", LogFields(target = settings.target))
    }

    private fun registerGauges() {
        metrics.gauge(MetricName.MEMORY_RESERVED_MB) { controller.state.reservedMb }
        metrics.gauge(MetricName.MODELS_RESIDENT) { controller.state.residents.size }
        metrics.gauge(MetricName.REQUESTS_WAITING) { controller.state.waiting.size }
        metrics.gauge(MetricName.STATE_SEQUENCE) { controller.state.sequence }
    }

    private fun adminServer() =
        embeddedServer(CIO, host = settings.admin.ip, port = settings.admin.port) {
            routing {
                get("/metrics") { call.respondText(metrics.export()) }
                get("/healthz") { call.respondText("ok\n") }
                get("/readyz") {
                    val state = controller.state
                    val ready = !state.draining && (state.kind == TargetKind.PLAIN || (state.settled && state.confirmed))
                    call.respondText(
                        if (ready) "ready\n" else "not ready\n",
                        status = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable,
                    )
                }
            }
        }

    /** Starts a graceful stop; a second call ends the requests still in progress with explicit errors. */
    public fun requestStop() {
        if (!stopping.compareAndSet(false, true)) {
            forced.complete(Unit)
            return
        }
        scope.launch {
            controller.submit(TargetEvent.DrainRequested)
            delay(DRAIN_NOTICE_MS)
            subscriber.sendStatus()
            server.announceLeaving()
            withTimeoutOrNull(settings.drainLimitMs) { while (server.busy && !forced.isCompleted) delay(DRAIN_CHECK_MS) }
            controller.submit(TargetEvent.DrainEnded)
            withTimeoutOrNull(CLOSE_LIMIT_MS) { while (server.busy || server.connected) delay(DRAIN_CHECK_MS) }
            stopped.complete(Unit)
        }
    }

    /** Suspends until a requested stop is complete. */
    public suspend fun awaitStop() {
        stopped.await()
        EventLog.info("agent stopped", LogFields(target = settings.target))
        admin.stop(0, 0)
        scope.cancel()
        backend.close()
        selector.close()
    }

    private companion object {
        const val DRAIN_NOTICE_MS = 100L
        const val DRAIN_CHECK_MS = 50L

        /** Maximum wait after draining for remaining answers and for entry hosts to close their connections. */
        const val CLOSE_LIMIT_MS = 3_000L
    }
}
