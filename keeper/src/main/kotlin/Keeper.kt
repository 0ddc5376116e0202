package org.almondjunction.keeper

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.ModelId
import org.almondjunction.common.TargetId
import org.almondjunction.decisions.EvictionCandidate
import org.almondjunction.decisions.EvictionPlan
import org.almondjunction.decisions.LoadValue
import org.almondjunction.decisions.SoftwareVersion
import org.almondjunction.decisions.StreamOrigins
import org.almondjunction.network.TcpConnection
import org.almondjunction.network.launchRestarting

/**
 * Controls one engine: is the only process that gives it orders, and reports its state to every gateway.
 *
 * The engine's own report is the only source of truth. An order is valid only while the engine's sequence number equals that of the
 * report on which it was planned, so a delayed order cannot take effect after a newer one.
 *
 * @param firstFence fencing number of the first order; must increase with each start of this process
 * @param quotas coordinator of quotas on this host; null if it is not to be one
 * @param crashStore where the crashes of the engine are kept; null if they need not outlive the loss of all processes
 */
public class Keeper(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val engine: EngineControl,
    firstFence: Long,
    private val quotas: QuotaCoordinator? = null,
    crashStore: CrashStore? = null,
) {
    private class Session(
        val channel: MessageChannel,
    ) {
        var gateway = ""
        var sending = false
        var dirty = false
        var loadDirty = false
        var sentMs = 0L
        var statusSentMs = 0L
        var gatewaysSent: List<String>? = null
        var crashesSent = -1
        var answeringQuotas = 0
        var answeringStreams = 0

        /** Requests that the gateway reported as broken off, and those of them for which it is known whether the engine has ended. */
        var reports = 0
        var settledReports = 0
    }

    private val sessions = mutableSetOf<Session>()
    private val usage = UsageStatistics()
    private val demand = ReportedDemand()
    private val crashLog = CrashLog()

    /** Streams of all engines, kept for gateways at which callers take them up. */
    private val streams = StreamOrigins()
    private val orderLock = Mutex()
    private val activeAdapterRequests = mutableSetOf<Pair<String, String?>>()

    /** Models that are drained before eviction and receive no new requests, with the time at which draining began. */
    private val draining = mutableMapOf<String, Long>()
    private val loadQueue = LoadQueue()
    private val sizes = mutableMapOf<String, ModelSize>()
    private var loading: String? = null
    private var fence = firstFence
    private var snapshot: EngineSnapshot? = null
    private var missedReports = 0

    /** Copies on the disk of the host when the engine last reported; they outlive a restart of the engine. */
    private var lastOnDisk = emptyList<String>()

    /** Notifies all gateways once of connections and disconnections that occur close together. */
    private val gatewaysChanged = CoalescedAction(scope, GATEWAY_CHANGE_WINDOW_MS) { markDirty() }

    /** A crash breaks off requests of many gateways at once. */
    private val crashesChanged = CoalescedAction(scope, CRASH_REPORT_WINDOW_MS) { markDirty() }

    private val crashStorage = crashStore?.let { CrashLogStorage(clock, crashLog, it) { crashesChanged.schedule() } }

    /** Any model fits on an empty engine, so the first load waits for requests of more gateways to choose the most valuable. */
    private val firstLoadRequests = CoalescedAction(scope, FIRST_REQUESTS_WINDOW_MS) { startNextLoad() }

    /** Time of the engine's last report, or of the last connection of a gateway. */
    private var lastContactMs = clock.nowMs()

    /** Starts to poll the engine, and to restore and keep its crashes. */
    public fun start() {
        crashStorage?.let { storage -> scope.launchRestarting("storage of crashes") { storage.run() } }
        scope.launchRestarting("engine poll") {
            while (true) {
                refresh()
                delay(pollMs())
            }
        }
    }

    /** An engine that has been unreachable for long is polled less often, until a gateway connects. */
    private fun pollMs(): Long =
        when {
            snapshot?.closing == true -> CLOSING_POLL_MS
            snapshot != null -> IDLE_POLL_MS
            clock.nowMs() - lastContactMs < RESTART_WINDOW_MS -> UNREACHABLE_POLL_MS
            else -> LONG_UNREACHABLE_POLL_MS
        }

    /** Serves a gateway on [connection]. */
    public fun accept(connection: TcpConnection) {
        val session = Session(MessageChannel(connection))
        sessions += session
        scope.launch {
            try {
                while (true) handle(session, session.channel.receive() ?: break)
            } finally {
                session.channel.close()
                sessions -= session
                usage.removeGateway(session.gateway)
                demand.removeGateway(session.gateway)
                gatewaysChanged.schedule()
            }
        }
    }

    private fun handle(
        session: Session,
        message: KeeperMessage,
    ) {
        when (message) {
            is KeeperMessage.Greeting -> {
                session.gateway = message.gateway
                lastContactMs = clock.nowMs()
                push(session.also { it.dirty = true })
                gatewaysChanged.schedule()
            }
            is KeeperMessage.Usage -> {
                usage.record(session.gateway, message.uses, clock.nowMs())
                message.demand.forEach { demand.record(session.gateway, it, clock.nowMs()) }
                session.reports += message.brokenOff.size
                updateCrashes(message)
                message.sentStreams.forEach { streams.record(it.request, SoftwareVersion(it.version)) }
                answerUsage(session)
                if (message.resumedStreams.isNotEmpty()) answerResumed(session, message.resumedStreams)
            }
            is KeeperMessage.LoadRequest -> submit(session.gateway, message)
            is KeeperMessage.QuotaRequest -> answerQuotas(session, message)
            is KeeperMessage.Status, is KeeperMessage.EngineLoad, is KeeperMessage.QuotaReply -> session.channel.close()
        }
    }

    private fun updateCrashes(message: KeeperMessage.Usage) {
        val nowMs = clock.nowMs()
        val before = crashLog.version
        message.brokenOff.forEach { crashLog.report(it, nowMs) }
        if (snapshot == null) crashLog.settle(null, nowMs)
        crashLog.restore(message.crashes, nowMs)
        crashLog.exonerate(message.answered, nowMs)
        if (crashLog.version != before) onCrashesChanged()
    }

    private fun onCrashesChanged() {
        crashesChanged.schedule()
        crashStorage?.schedule()
    }

    /** Answers each usage report, because a gateway with requests in flight treats a silent keeper as a silent engine. */
    private fun answerUsage(session: Session) {
        session.loadDirty = true
        if (clock.nowMs() - session.statusSentMs >= STATUS_INTERVAL_MS) session.dirty = true
        push(session)
    }

    private fun answerResumed(
        session: Session,
        requests: List<String>,
    ) {
        if (session.answeringStreams >= MAXIMUM_STREAM_ANSWERS) return
        val answers = requests.map { request -> streams.versionOf(request).let { SentStream(request, it?.name, known = it != null) } }
        session.answeringStreams++
        scope.launch {
            try {
                session.channel.send(engineLoad().copy(resumedStreams = answers))
            } finally {
                session.answeringStreams--
            }
        }
    }

    /** Answers that wait to be written are limited in number, so that a gateway that reads nothing holds no memory. */
    private fun answerQuotas(
        session: Session,
        message: KeeperMessage.QuotaRequest,
    ) {
        val coordinator = quotas
        if (coordinator == null || session.gateway.isEmpty() || session.answeringQuotas >= MAXIMUM_QUOTA_ANSWERS) return
        val reply = coordinator.answer(session.gateway, message) ?: return
        session.answeringQuotas++
        scope.launch {
            try {
                session.channel.send(reply)
            } finally {
                session.answeringQuotas--
            }
        }
    }

    private suspend fun refresh(): EngineSnapshot? {
        val before = snapshot
        val askedMs = clock.nowMs()
        val reported = sessions.filter { it.settledReports < it.reports }.associateWith { it.reports }
        val now = engine.report()
        if (now == null && before != null && ++missedReports < MISSED_REPORTS_UNTIL_UNREACHABLE) return null
        missedReports = 0
        if (now == null && before != null) EventLog.warn("engine stopped responding")
        if (now != null &&
            before == null
        ) {
            EventLog.info("engine is responding", LogFields(extra = describe(now)))
        }
        snapshot = now
        if (now != null) {
            lastContactMs = clock.nowMs()
            lastOnDisk = now.onDisk
        }
        val crashesBefore = crashLog.version
        crashLog.settle(now, askedMs)
        reported.forEach { (session, reports) -> tellSettled(session, reports) }
        if (crashLog.version != crashesBefore) onCrashesChanged()
        when {
            now == null -> if (before != null) markDirty()
            now.models != before?.models || now.busy != before.busy -> markDirty()
            now.queued != before.queued || now.active != before.active -> markLoad()
        }
        return now
    }

    /** Gateways wait for this with their second attempts. */
    private fun tellSettled(
        session: Session,
        reports: Int,
    ) {
        if (session !in sessions || reports <= session.settledReports) return
        session.settledReports = reports
        push(session.also { it.dirty = true })
    }

    private fun describe(report: EngineSnapshot) =
        mapOf(
            "models" to report.models.keys.joinToString(),
            "inMemory" to report.inMemory.joinToString(),
            "onDisk" to report.onDisk.joinToString(),
            "sequence" to report.sequence.toString(),
        )

    private fun markDirty(): Unit = sessions.forEach { push(it.also { session -> session.dirty = true }) }

    private fun markLoad(): Unit =
        sessions.forEach { session ->
            session.loadDirty = true
            if (clock.nowMs() - session.sentMs >= maxOf(LOAD_INTERVAL_MS, sessions.size * LOAD_SPACING_MS)) push(session)
        }

    private fun push(session: Session) {
        if (session.sending || session.gateway.isEmpty()) return
        session.sending = true
        scope.launch {
            var failed = true
            try {
                sendChanges(session)
                failed = false
            } finally {
                session.sending = false
                // The gateway would receive no further messages on this connection; closing it makes the gateway reconnect.
                if (failed) session.channel.close()
            }
        }
    }

    private suspend fun sendChanges(session: Session) {
        while (session.dirty || session.loadDirty) {
            val message = if (session.dirty) statusFor(session) else engineLoad()
            session.dirty = false
            session.loadDirty = false
            session.sentMs = clock.nowMs()
            if (!session.channel.send(message)) return
        }
    }

    private fun engineLoad() = snapshot?.let { KeeperMessage.EngineLoad(it.queued, it.active, it.kvUsed) } ?: KeeperMessage.EngineLoad()

    private fun statusFor(session: Session): KeeperMessage.Status {
        val gateways = sessions.map { it.gateway }.filter { it.isNotEmpty() }.distinct()
        val changed = gateways.takeIf { it != session.gatewaysSent }
        session.gatewaysSent = gateways
        session.statusSentMs = clock.nowMs()
        val crashes = crashLog.all(clock.nowMs()).takeIf { crashLog.version != session.crashesSent }
        session.crashesSent = crashLog.version
        return status(changed).copy(crashes = crashes, settledReports = session.settledReports)
    }

    private fun status(gateways: List<String>?): KeeperMessage.Status {
        val nowMs = clock.nowMs()
        val current = snapshot
        return KeeperMessage.Status(
            models =
                current?.models.orEmpty().map { (model, adapters) ->
                    HeldModel(
                        model = model,
                        adapters = adapters.toList(),
                        requestsPerSecond = requestsPerSecond(model, nowMs).toFloat(),
                        idleMs = usage.idleMs(model, null, nowMs),
                        inFlight = usage.inFlight(model, null),
                    )
                },
            draining = draining.keys.toList(),
            loading = loading,
            pendingLoads = loadQueue.models(nowMs),
            inMemory = current?.inMemory.orEmpty(),
            onDisk = lastOnDisk,
            gateways = gateways,
            load = engineLoad(),
            busy = current?.busy ?: false,
            engineReachable = current != null,
        )
    }

    /** Prefers the demand that gateways report, because a model that was just loaded has no usage yet. */
    private fun requestsPerSecond(
        model: String,
        nowMs: Long,
    ): Double = demand.perSecond(model, nowMs) ?: usage.ratePerSecond(model, null, nowMs)

    private fun submit(
        gateway: String,
        request: KeeperMessage.LoadRequest,
    ) {
        request.sizes.forEach { sizes[it.model] = it }
        if (request.adapter != null) return startAdapterLoad(request)
        if (!request.mayEvict && loading != null) return
        loadQueue.add(gateway, request, clock.nowMs())
        demand.record(gateway, Demand(request.model, request.requestsPerSecond), clock.nowMs())
        if (loading == null && snapshot?.models.isNullOrEmpty()) firstLoadRequests.schedule() else startNextLoad()
    }

    /** Starts the pending load of highest value, unless a model is being loaded already. */
    private fun startNextLoad() {
        if (loading != null) return
        loadQueue.take(clock.nowMs(), snapshot?.models?.keys.orEmpty())?.let { startLoad(it) }
    }

    private fun startLoad(load: ValuedLoad) {
        loading = load.request.model
        markDirty()
        scope.launch {
            val outcome =
                try {
                    runUntilDone(load.request) { modelStep(load) }
                } finally {
                    loading = null
                    draining.clear()
                }
            logOutcome(load.request, outcome)
            markDirty()
            startNextLoad()
        }
    }

    private fun startAdapterLoad(request: KeeperMessage.LoadRequest) {
        val key = request.model to request.adapter
        if (!activeAdapterRequests.add(key)) return
        scope.launch {
            val outcome =
                try {
                    runUntilDone(request) { adapterStep(request) }
                } finally {
                    activeAdapterRequests -= key
                }
            logOutcome(request, outcome)
            markDirty()
        }
    }

    private fun logOutcome(
        request: KeeperMessage.LoadRequest,
        outcome: String,
    ) = EventLog.info(
        "load request ended",
        LogFields(
            target = TargetId(request.target),
            outcome = outcome,
            extra = mapOf("model" to request.model, "adapter" to request.adapter),
        ),
    )

    private suspend fun runUntilDone(
        request: KeeperMessage.LoadRequest,
        step: suspend () -> Step,
    ): String {
        val deadlineMs = clock.nowMs() + request.timeoutMs
        while (true) {
            when (val outcome = orderLock.withLock { step() }) {
                Step.Done -> return "held"
                is Step.Impossible -> return outcome.reason
                Step.InProgress -> delay(BUSY_POLL_MS)
                Step.Wait -> if (clock.nowMs() < deadlineMs) delay(BUSY_POLL_MS) else return "timed out"
            }
        }
    }

    private sealed class Step {
        data object Done : Step()

        data object Wait : Step()

        /** The engine carries out the order; it cannot be taken back, so it is awaited without a time limit. */
        data object InProgress : Step()

        data class Impossible(
            val reason: String,
        ) : Step()
    }

    private suspend fun adapterStep(request: KeeperMessage.LoadRequest): Step {
        val report = refresh() ?: return missingReport()
        val adapter = checkNotNull(request.adapter)
        val adapters = report.models[request.model]
        return when {
            adapters == null -> Step.Impossible("the model is not loaded")
            adapter in adapters -> Step.Done
            (request.model to adapter) in report.loadingAdapters || report.busy -> Step.Wait
            else -> loadAdapter(request, adapter, report)
        }
    }

    private suspend fun modelStep(load: ValuedLoad): Step {
        val report = refresh() ?: return missingReport()
        val request = load.request
        if (request.model in report.models) {
            usage.touch(request.model, null, clock.nowMs())
            return Step.Done
        }
        val neededMb = (sizes[request.model] ?: return Step.Impossible("the size of the model is unknown")).weightsMb
        val usedMb = usedMb(report) ?: return Step.Impossible("the size of a loaded model is unknown")
        val reserveMb = (sizes.values.maxOf { it.adapterMb } * request.adapterSlots - adapterMb(report)).coerceAtLeast(0)
        val missingMb = usedMb + neededMb + reserveMb - request.memoryMb
        val victim = draining.keys.firstOrNull { it in report.models }
        return when {
            missingMb > 0 && request.mayEvict && victim == null -> chooseVictim(load, report, missingMb)
            report.busy -> if (load.ordered) Step.InProgress else Step.Wait
            missingMb <= 0 -> order(request, report, EngineOrder.Kind.LOAD, request.model, null).also { load.ordered = true }
            victim == null -> Step.Impossible("not enough memory")
            else -> unloadOnceDrained(request, report, victim)
        }
    }

    private fun missingReport() = if (snapshot == null) Step.Impossible("the engine does not answer") else Step.Wait

    /** Chooses the model to evict for the request; gateways then send it no new requests. */
    private fun chooseVictim(
        load: ValuedLoad,
        report: EngineSnapshot,
        missingMb: Long,
    ): Step {
        val candidates = evictionCandidates(load.request, report)
        val chosen =
            EvictionPlan.choose(candidates, missingMb, LoadValue.callersOf(load.valueMs))
                ?: return Step.Impossible("evicting all models would not free enough memory")
        if (chosen.costMs > load.valueMs) return Step.Impossible("the models to evict have a higher value")
        val victim = candidates.first { it.model == chosen.models.first() }
        val recentlyUsed = victim.inFlight == 0 && EvictionPlan.waitMs(victim) > 0
        if (recentlyUsed) return Step.Wait
        draining[victim.model.value] = clock.nowMs()
        markDirty()
        return Step.Wait
    }

    private fun evictionCandidates(
        request: KeeperMessage.LoadRequest,
        report: EngineSnapshot,
    ): List<EvictionCandidate> {
        val nowMs = clock.nowMs()
        return report.models.map { (model, adapters) ->
            EvictionCandidate(
                model = ModelId(model),
                memoryMb = sizes.getValue(model).let { it.weightsMb + it.adapterMb * adapters.size },
                requestsPerSecond = requestsPerSecond(model, nowMs),
                idleMs = usage.idleMs(model, null, nowMs),
                inFlight = usage.inFlight(model, null),
                otherReplicas = request.copiesElsewhere.count { it == model },
                answerMs = demand.answerMs(model, nowMs) ?: EvictionCandidate.DEFAULT_ANSWER_MS,
                surplus = model in request.surplus,
                reloadMs = if (model in report.inMemory || model in report.onDisk) RELOAD_FROM_HOST_MS else RELOAD_FROM_STORE_MS,
            )
        }
    }

    /** Unloads [victim], which receives no new requests, once its requests in progress have ended or [DRAIN_TIMEOUT_MS] has passed. */
    private suspend fun unloadOnceDrained(
        request: KeeperMessage.LoadRequest,
        report: EngineSnapshot,
        victim: String,
    ): Step {
        val stillDraining = usage.inFlight(victim, null) > 0 && clock.nowMs() - draining.getValue(victim) < DRAIN_TIMEOUT_MS
        return if (stillDraining) Step.Wait else order(request, report, EngineOrder.Kind.UNLOAD, victim, null)
    }

    private suspend fun loadAdapter(
        request: KeeperMessage.LoadRequest,
        adapter: String,
        report: EngineSnapshot,
    ): Step {
        val usedMb = usedMb(report) ?: return Step.Impossible("the size of a loaded model is unknown")
        val adapterMb = (sizes[request.model] ?: return Step.Impossible("the size of the model is unknown")).adapterMb
        if (report.loadingAdapters.size >= MAXIMUM_LOADING_ADAPTERS) return Step.Wait
        val held = report.models.flatMap { (model, adapters) -> adapters.map { model to it } }
        val full = held.size + report.loadingAdapters.size + 1 > request.adapterSlots || usedMb + adapterMb > request.memoryMb
        if (!full) {
            usage.touch(request.model, adapter, clock.nowMs())
            return order(request, report, EngineOrder.Kind.LOAD, request.model, adapter)
        }
        val nowMs = clock.nowMs()
        val victim =
            held
                .filter { usage.inFlight(it.first, it.second) == 0 }
                .maxByOrNull { usage.idleMs(it.first, it.second, nowMs) }
                ?.takeIf { usage.idleMs(it.first, it.second, nowMs) >= MINIMUM_ADAPTER_IDLE_MS } ?: return Step.Wait
        return order(request, report, EngineOrder.Kind.UNLOAD, victim.first, victim.second)
    }

    /** Memory that is or may be occupied; null when the size of a model is unknown. */
    private fun usedMb(report: EngineSnapshot): Long? {
        if (report.models.keys.any { it !in sizes } || report.loadingAdapters.any { it.first !in sizes }) return null
        return report.models.keys.sumOf { sizes.getValue(it).weightsMb } + adapterMb(report)
    }

    private fun adapterMb(report: EngineSnapshot): Long =
        report.models.entries.sumOf { (model, adapters) -> sizes.getValue(model).adapterMb * adapters.size } +
            report.loadingAdapters.sumOf { sizes.getValue(it.first).adapterMb }

    private suspend fun order(
        request: KeeperMessage.LoadRequest,
        report: EngineSnapshot,
        kind: EngineOrder.Kind,
        model: String,
        adapter: String?,
    ): Step {
        val order = EngineOrder(request.target, kind, model, adapter, report.sequence, fence)
        val reply = engine.order(order)
        EventLog.info(
            "order",
            LogFields(
                target = TargetId(request.target),
                outcome = reply.name.lowercase(),
                extra =
                    mapOf(
                        "kind" to kind.name.lowercase(),
                        "model" to model,
                        "adapter" to adapter,
                        "sequence" to report.sequence.toString(),
                        "fence" to fence.toString(),
                        "holds" to report.models.keys.joinToString(),
                        "onDisk" to report.onDisk.joinToString(),
                    ),
            ),
        )
        return when (reply) {
            EngineOrderReply.ACCEPTED, EngineOrderReply.CONFLICT, EngineOrderReply.LOST -> Step.Wait
            EngineOrderReply.FENCED -> {
                fence += FENCE_STEP
                Step.Wait
            }
            EngineOrderReply.REFUSED -> Step.Impossible("the engine refused the order")
        }
    }

    private companion object {
        /** One for each shard, with room for requests that were repeated. */
        const val MAXIMUM_QUOTA_ANSWERS = 16

        /** Gateways ask for each stream that is taken up at once, as after the loss of an engine. */
        const val MAXIMUM_STREAM_ANSWERS = 64

        /** Poll interval while no load request is carried out; a report from the engine's own host is fresh and cheap. */
        const val IDLE_POLL_MS = 100L

        /** Poll interval while the engine is shutting down, when each report needs a new connection. */
        const val CLOSING_POLL_MS = 1_000L

        /** Poll interval while the engine does not answer; each attempt opens a new connection. */
        const val UNREACHABLE_POLL_MS = 500L
        const val LONG_UNREACHABLE_POLL_MS = 3_000L

        /** Time for which an unreachable engine is expected to return; longer than most restarts. */
        const val RESTART_WINDOW_MS = 8_000L

        /** Consecutive failed reports after which the engine counts as unreachable. */
        const val MISSED_REPORTS_UNTIL_UNREACHABLE = 2

        /** Time after which a draining model is unloaded despite requests in progress; the engine still completes those it has started. */
        const val DRAIN_TIMEOUT_MS = 2_500L

        /** Poll interval while an order is being carried out; about the time in which an adapter is loaded. */
        const val BUSY_POLL_MS = 10L

        /** Minimum time between two messages that report only the load. */
        const val LOAD_INTERVAL_MS = 200L

        /** Part of the load interval for each connected gateway, so that the total message rate does not grow with the fleet. */
        const val LOAD_SPACING_MS = 40L

        /** Time within which the reports of a crash arrive from gateways in other regions. */
        const val CRASH_REPORT_WINDOW_MS = 50L

        /** Time within which gateways that start together have all connected. */
        const val GATEWAY_CHANGE_WINDOW_MS = 300L

        /** Time within which gateways that have just connected to an empty engine request the models that their callers wait for. */
        const val FIRST_REQUESTS_WINDOW_MS = 100L

        /** Maximum time between two full statuses while gateways report usage. */
        const val STATUS_INTERVAL_MS = 2_000L

        /** An adapter that was loaded or used more recently is not evicted; gateways report its requests within 500 ms. */
        const val MINIMUM_ADAPTER_IDLE_MS = 700L

        /** Number of adapters that an engine loads from the store at the same time. */
        const val MAXIMUM_LOADING_ADAPTERS = 4

        /** Typical time to reload a checkpoint that the engine's host still has in memory or on disk. */
        const val RELOAD_FROM_HOST_MS = 800L

        /** Typical time to load a checkpoint from the weight store. */
        const val RELOAD_FROM_STORE_MS = 6_000L

        /** Added to a refused fencing number: only this process orders its engine, so a refusal means that its clock was set back. */
        const val FENCE_STEP = 86_400_000L
    }
}
