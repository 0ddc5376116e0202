package org.almondjunction.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.EventLog
import org.almondjunction.common.HostClock
import org.almondjunction.common.HostTime
import org.almondjunction.common.LogFields
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.common.ServiceId
import org.almondjunction.common.SystemHostClock
import org.almondjunction.decisions.HedgePolicy
import org.almondjunction.decisions.PlannedStop
import org.almondjunction.decisions.SharedRetryBudget
import org.almondjunction.network.EventLoop
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpHeader
import org.almondjunction.network.HttpReader
import org.almondjunction.network.HttpWriter
import org.almondjunction.network.TcpConnection
import org.almondjunction.network.TcpListener
import org.almondjunction.network.launchRestarting

/**
 * HTTP reverse proxy between callers and targets.
 *
 * The embedding program passes the accepted configuration to [applyConfiguration] and the platform's list of targets to [directory].
 */
public class Gateway(
    private var settings: GatewaySettings,
    private val names: HeaderNames,
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val metrics: Metrics,
    hostClock: HostClock = SystemHostClock,
) {
    private val clock = loop.clock
    internal val state =
        GatewayState(
            CrashTracker(loop.clock, settings.name) { cancelQuarantined() },
            ConfigurationProof(hostClock, metrics, settings.revocationMs),
        )
    private val registry = TargetRegistry(loop, scope, settings.name, settings.keeperPort, state)
    private val selector = TargetSelector(clock, registry, settings.topology, state)
    private val preloader = ModelPreloader(registry, selector, state, settings.name)
    private val retryBudget = SharedRetryBudget(settings.retryLimits)
    private val quotas = QuotaClient(hostClock, registry, state, names, settings.quotaLimits, metrics)
    private val hedgePolicy = HedgePolicy(settings.hedgedShare)
    private val hedging = HedgedExchange(clock, selector, registry, state, hedgePolicy, retryBudget, metrics)
    private val signals = SignalReader(clock, state, names, metrics)
    private val origins = StreamOriginClient(clock, registry, state.changed)
    private val forwarder = Forwarder(clock, selector, registry, state, names, retryBudget, metrics, quotas, hedging, signals, origins)
    private val connections = mutableSetOf<CallerConnection>()
    private var targetsKnown = false

    /** When both a configuration and the list of targets were first known. */
    private var configuredMs: Long? = null
    private val stopped = CompletableDeferred<Unit>()

    /** Targets known to this gateway. */
    public val directory: TargetDirectory =
        TargetDirectory(clock, isConfigured = { isConfigured(it) }) { registry.apply(it) }

    private fun isConfigured(service: ServiceId): Boolean = state.configuration?.services?.containsKey(service) == true

    /** Whether this gateway accepts requests of callers. */
    public val ready: Boolean get() =
        configuredMs?.let { registry.keepersHeard || clock.nowMs() - it >= KEEPER_WAIT_MS } == true &&
            !state.stopping &&
            !lacksProof

    /** Whether callers with an API key cannot be served, since their keys may have been removed. */
    private val lacksProof: Boolean get() = state.configuration?.apiKeys != null && !state.proof.fresh

    /** Wait of the next watch of the configuration, so that its proof stays young enough; null if it must be listed instead. */
    public val nextConfigurationWatchMs: Long? get() = state.proof.nextWatchMs

    /** Starts listening and starts the background tasks. */
    public fun start() {
        TcpListener(loop, settings.callerAddress) { serve(it) }
        TcpListener(loop, settings.readinessAddress) { connection -> scope.launch { answerReadiness(connection) } }
        registry.start()
        metrics.gauge(MetricName.QUARANTINED_PARTS) { state.crashes.quarantinedParts }
        metrics.gauge(MetricName.CONFIGURATION_PROOF_AGE_MS) { state.proof.ageMs ?: Double.NaN }
        scope.launchRestarting("expiry of entries") {
            while (true) {
                delay(EXPIRY_INTERVAL_MS)
                directory.expire()
                state.proof.reportChanges()
            }
        }
        scope.launchRestarting("quotas") { quotas.run() }
        scope.launchRestarting("preparation") { preloader.run() }
    }

    /** Puts [configuration] into force, unless the same or a later version is in force. */
    public fun applyConfiguration(configuration: GatewayConfiguration) {
        val current = state.configuration
        if (current != null && current.version >= configuration.version) return
        state.configuration = configuration
        directory.updateServices()
        recordConfigured()
        registry.connectKeepers()
        state.changed.raise()
        EventLog.info("configuration in force", LogFields(extra = mapOf("version" to configuration.version.toString())))
    }

    /** Records that the configuration in force, or an invalid later one, was the newest at [provedAt]. */
    public fun confirmConfiguration(provedAt: HostTime) {
        if (state.proof.confirm(provedAt)) state.changed.raise()
    }

    /**
     * Applies those settings of [changed] that may change at run time: the grace time, the limits of retries and hedges, the regions of
     * zones and the limit on revoked keys.
     */
    public fun applySettings(changed: GatewaySettings) {
        settings =
            settings.copy(
                graceMs = changed.graceMs,
                retryLimits = changed.retryLimits,
                hedgedShare = changed.hedgedShare,
                topology = changed.topology,
            )
        state.proof.revocationMs = changed.revocationMs
        retryBudget.limits = changed.retryLimits
        hedgePolicy.share = changed.hedgedShare
        selector.topology = changed.topology
    }

    /** Records that [directory] has received the complete list of targets at least once. */
    public fun markTargetsListed() {
        if (!targetsKnown) EventLog.info("target list received")
        targetsKnown = true
        recordConfigured()
    }

    private fun recordConfigured() {
        if (configuredMs == null && targetsKnown && state.configuration != null) configuredMs = clock.nowMs()
    }

    private fun cancelQuarantined() {
        state.changed.raise()
        forwarder.cancelQuarantined()
    }

    private fun serve(connection: TcpConnection) {
        val caller = CallerConnection(connection, clock, state, names, forwarder, metrics)
        connections += caller
        scope.launch {
            try {
                caller.serve()
            } finally {
                connections -= caller
            }
        }
    }

    private suspend fun answerReadiness(connection: TcpConnection) {
        val reader = HttpReader(connection)
        while (true) {
            val result = withTimeoutOrNull(READINESS_IDLE_TIMEOUT_MS) { reader.requestHead(MAXIMUM_READINESS_HEAD_BYTES) }
            val head = (result as? HeadResult.Read)?.head ?: break
            val status =
                when {
                    head.target != settings.readinessPath -> NOT_FOUND
                    ready -> OK
                    else -> SERVICE_UNAVAILABLE
                }
            if (!connection.write(HttpWriter.response(status, listOf(HttpHeader("Content-Length", "0"))))) break
        }
        connection.close()
    }

    /**
     * Reports not ready to the load balancer, finishes requests in progress and returns when none remain or the grace time is nearly over.
     *
     * Requests without a response by then get an error response that states whether they may have run; only responses that have begun
     * are cut off. A further call returns when the first does.
     */
    public suspend fun shutDown() {
        if (state.stopping) return stopped.await()
        val nowMs = clock.nowMs()
        val exitMs = nowMs + settings.graceMs - EXIT_MARGIN_MS
        val stop = PlannedStop(closedMs = nowMs + BALANCER_REMOVAL_MS, finalResponseMs = exitMs - FINAL_RESPONSE_MS, exitMs = exitMs)
        state.stop = stop
        try {
            drain(stop)
        } finally {
            stopped.complete(Unit)
        }
    }

    private suspend fun drain(stop: PlannedStop) {
        EventLog.info("leaving", LogFields(extra = mapOf("connections" to connections.size.toString())))
        delay(minOf(stop.closedMs, stop.finalResponseMs) - clock.nowMs())
        while (clock.nowMs() < stop.exitMs) {
            closeIdleConnections()
            if (connections.none { it.busy }) break
            if (clock.nowMs() >= stop.finalResponseMs) forwarder.answerPending()
            delay(DRAIN_POLL_MS)
        }
        val aborted = forwarder.cancelActive()
        if (aborted > 0) delay(DRAIN_POLL_MS)
        EventLog.info("left", LogFields(extra = mapOf("unfinished" to aborted.toString())))
    }

    private suspend fun closeIdleConnections() {
        // Lets the event loop read requests that arrived while this process was suspended.
        delay(MINIMUM_DELAY_MS)
        connections.filter { !it.busy }.forEach { it.close() }
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val SERVICE_UNAVAILABLE = 503
        const val EXPIRY_INTERVAL_MS = 100L

        /** Time for which a gateway that has just started waits for keepers, which know the requests that end engines. */
        const val KEEPER_WAIT_MS = 500L
        const val READINESS_IDLE_TIMEOUT_MS = 10_000L
        const val MAXIMUM_READINESS_HEAD_BYTES = 4_096

        /** The load balancer polls every second and removes a gateway after two failures; open connections are served meanwhile. */
        const val BALANCER_REMOVAL_MS = 2_600L
        const val MINIMUM_DELAY_MS = 1L
        const val DRAIN_POLL_MS = 50L

        /** Time reserved for the final responses to reach their callers: a few one-way delays between regions. */
        const val FINAL_RESPONSE_MS = 200L

        /** Time reserved for the exit of the process itself. */
        const val EXIT_MARGIN_MS = 500L
    }
}
