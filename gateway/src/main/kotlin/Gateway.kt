package org.almondjunction.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.Metrics
import org.almondjunction.decisions.SharedRetryBudget
import org.almondjunction.network.EventLoop
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpHeader
import org.almondjunction.network.HttpReader
import org.almondjunction.network.HttpWriter
import org.almondjunction.network.TcpConnection
import org.almondjunction.network.TcpListener
import org.almondjunction.network.launchAlways

/**
 * The program that stands between callers and targets.
 *
 * [accept] and [directory] are fed by whoever knows the accepted configuration and the platform's list of targets.
 */
public class Gateway(
    private var settings: GatewaySettings,
    private val names: HeaderNames,
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val metrics: Metrics,
) {
    private val clock = loop.clock
    internal val state = GatewayState()
    private val fleet = Fleet(loop, scope, settings.name, settings.keeperPort, state)
    private val selector = TargetSelector(clock, fleet, settings.place, state)
    private val preparation = Preparation(fleet, selector, state, settings.name)
    private val allowance = SharedRetryBudget(settings.repeats)
    private val forwarder = Forwarder(clock, selector, fleet, state, names, allowance, metrics)
    private val connections = mutableSetOf<CallerConnection>()
    private var targetsKnown = false
    private val left = CompletableDeferred<Unit>()

    /** The targets that this gateway knows. */
    public val directory: TargetDirectory = TargetDirectory(clock, settings.lapseMs) { fleet.apply(it) }

    /** Whether callers may come. */
    public val ready: Boolean get() = state.configuration != null && targetsKnown && !state.leaving

    /** Begins to listen. */
    public fun start() {
        TcpListener(loop, settings.callers) { serve(it) }
        TcpListener(loop, settings.readiness) { connection -> scope.launch { answerReadiness(connection) } }
        fleet.start()
        scope.launchAlways("expiry of entries") {
            while (true) {
                delay(EXPIRY_MS)
                directory.expire()
            }
        }
        scope.launchAlways("preparation") { preparation.run() }
    }

    /** Takes [configuration] in force unless a later version already is. */
    public fun accept(configuration: GatewayConfiguration) {
        val current = state.configuration
        if (current != null && current.version >= configuration.version) return
        state.configuration = configuration
        fleet.linkAll()
        state.changed.raise()
        EventLog.info("configuration in force", LogFields(extra = mapOf("version" to configuration.version.toString())))
    }

    /** Takes what of [changed] may change while this process runs: the time to stop, the limits on repeats and where zones lie. */
    public fun apply(changed: GatewaySettings) {
        settings = settings.copy(graceMs = changed.graceMs, repeats = changed.repeats, place = changed.place)
        allowance.limits = changed.repeats
        selector.place = changed.place
    }

    /** Says that [directory] has been filled once. */
    public fun targetsListed() {
        if (!targetsKnown) EventLog.info("targets known")
        targetsKnown = true
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
            val result = withTimeoutOrNull(READINESS_IDLE_MS) { reader.requestHead(MAXIMUM_READINESS_BYTES) }
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
     * Leaves the balancer, finishes what is in progress and returns when nothing is left or the grace time is nearly over.
     *
     * Whoever has no answer by then is told what is known of its request; only answers that have begun are broken off.
     * A further call returns when the first does.
     */
    public suspend fun leave() {
        if (state.leaving) return left.await()
        state.leaving = true
        try {
            finishAccepted()
        } finally {
            left.complete(Unit)
        }
    }

    private suspend fun finishAccepted() {
        EventLog.info("leaving", LogFields(extra = mapOf("connections" to connections.size.toString())))
        val endMs = clock.nowMs() + settings.graceMs - EXIT_MARGIN_MS
        state.lastWordMs = endMs - LAST_WORD_MS
        state.endMs = endMs
        delay(minOf(BALANCER_MS, state.lastWordMs - clock.nowMs()))
        while (clock.nowMs() < endMs) {
            closeIdle()
            if (connections.isEmpty()) break
            if (clock.nowMs() >= state.lastWordMs) forwarder.answerHeld()
            delay(LEAVING_POLL_MS)
        }
        val brokenOff = forwarder.breakOffHeld()
        if (brokenOff > 0) delay(LEAVING_POLL_MS)
        EventLog.info("left", LogFields(extra = mapOf("unfinished" to brokenOff.toString())))
    }

    private suspend fun closeIdle() {
        // Lets the loop read requests that came while this process stood still.
        delay(SHORTEST_DELAY_MS)
        connections.filter { !it.busy }.forEach { it.close() }
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val SERVICE_UNAVAILABLE = 503
        const val EXPIRY_MS = 100L
        const val READINESS_IDLE_MS = 10_000L
        const val MAXIMUM_READINESS_BYTES = 4_096

        /** The balancer asks each second and believes two misses; requests on open connections are served meanwhile. */
        const val BALANCER_MS = 2_600L
        const val SHORTEST_DELAY_MS = 1L
        const val LEAVING_POLL_MS = 50L

        /** Time kept for the last answers to reach their callers: a few ways between regions. */
        const val LAST_WORD_MS = 200L

        /** Time kept for the end of the process itself. */
        const val EXIT_MARGIN_MS = 500L
    }
}
