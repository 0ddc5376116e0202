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
import org.almondjunction.network.TcpConnection
import org.almondjunction.network.launchAlways

/**
 * Keeps one engine: alone gives it orders, and tells every gateway what it holds.
 *
 * What the engine reports is the only ledger; an order holds only while the engine's sequence is the one of the report that it was
 * planned on, so an order that is carried out late cannot follow a newer one.
 *
 * @param firstFence fencing number of the first order; must rise with each start of this process
 */
public class Keeper(
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val engine: EngineControl,
    firstFence: Long,
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
    }

    private val sessions = mutableSetOf<Session>()
    private val usage = UsageBook()
    private val demand = ToldDemand()
    private val orders = Mutex()
    private val adapterWishes = mutableSetOf<Pair<String, String?>>()

    /** Models that take no new requests since they make way, with the time since when. */
    private val leaving = mutableMapOf<String, Long>()
    private val modelWishes = WishQueue()
    private val sizes = mutableMapOf<String, ModelSize>()
    private var loading: String? = null
    private var fence = firstFence
    private var snapshot: EngineSnapshot? = null
    private var misses = 0

    /** All gateways are told together of those that come or go at about one time. */
    private val gatewaysChanged = Gathering(scope, GATEWAYS_GATHER_MS) { markDirty() }

    /** On an empty engine anything could be loaded: gateways that have just met it ask within a moment, and most is worth most. */
    private val firstWishes = Gathering(scope, WISHES_GATHER_MS) { beginNext() }

    /** When the engine was last heard, or a gateway last came for it. */
    private var expectedMs = clock.nowMs()

    /** Begins to watch the engine. */
    public fun start() {
        scope.launchAlways("watch of the engine") {
            while (true) {
                refresh()
                delay(pollMs())
            }
        }
    }

    /** An engine that has been away for long is looked for less often, until a gateway knows of it again. */
    private fun pollMs(): Long =
        when {
            snapshot?.closing == true -> CLOSING_POLL_MS
            snapshot != null -> IDLE_POLL_MS
            clock.nowMs() - expectedMs < EXPECTED_MS -> ABSENT_POLL_MS
            else -> LONG_ABSENT_POLL_MS
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
                usage.forget(session.gateway)
                demand.forget(session.gateway)
                gatewaysChanged.request()
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
                expectedMs = clock.nowMs()
                push(session.also { it.dirty = true })
                gatewaysChanged.request()
            }
            is KeeperMessage.Usage -> {
                usage.record(session.gateway, message.uses, clock.nowMs())
                message.demand.forEach { demand.tell(session.gateway, it, clock.nowMs()) }
                answerUsage(session)
            }
            is KeeperMessage.LoadRequest -> begin(session.gateway, message)
            is KeeperMessage.Status, is KeeperMessage.EngineLoad -> session.channel.close()
        }
    }

    /** A gateway with requests in flight takes the silence of a keeper for that of its engine. */
    private fun answerUsage(session: Session) {
        session.loadDirty = true
        if (clock.nowMs() - session.statusSentMs >= STATUS_INTERVAL_MS) session.dirty = true
        push(session)
    }

    private suspend fun refresh(): EngineSnapshot? {
        val before = snapshot
        val now = engine.report()
        if (now == null && before != null && ++misses < MISSES_OF_ABSENCE) return null
        misses = 0
        if (now == null && before != null) EventLog.warn("engine lost")
        if (now != null &&
            before == null
        ) {
            EventLog.info("engine found", LogFields(extra = describe(now)))
        }
        snapshot = now
        if (now != null) expectedMs = clock.nowMs()
        when {
            now == null -> if (before != null) markDirty()
            now.models != before?.models || now.busy != before.busy -> markDirty()
            now.queued != before.queued || now.active != before.active -> markLoad()
        }
        return now
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
                // A gateway that would hear nothing more comes again.
                if (failed) session.channel.close()
            }
        }
    }

    private suspend fun sendChanges(session: Session) {
        while (session.dirty || session.loadDirty) {
            val message = if (session.dirty) statusFor(session) else load()
            session.dirty = false
            session.loadDirty = false
            session.sentMs = clock.nowMs()
            if (!session.channel.send(message)) return
        }
    }

    private fun load() = snapshot?.let { KeeperMessage.EngineLoad(it.queued, it.active, it.kvUsed) } ?: KeeperMessage.EngineLoad()

    private fun statusFor(session: Session): KeeperMessage.Status {
        val gateways = sessions.map { it.gateway }.filter { it.isNotEmpty() }.distinct()
        val changed = gateways.takeIf { it != session.gatewaysSent }
        session.gatewaysSent = gateways
        session.statusSentMs = clock.nowMs()
        return status(changed)
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
            draining = leaving.keys.toList(),
            loading = loading,
            pendingLoads = modelWishes.models(nowMs),
            inMemory = current?.inMemory.orEmpty(),
            onDisk = current?.onDisk.orEmpty(),
            gateways = gateways,
            load = load(),
            busy = current?.busy ?: false,
            engineReachable = current != null,
        )
    }

    /** A model that was just loaded has not been used yet, but gateways know who asks for it. */
    private fun requestsPerSecond(
        model: String,
        nowMs: Long,
    ): Double = demand.perSecond(model, nowMs) ?: usage.ratePerSecond(model, null, nowMs)

    private fun begin(
        gateway: String,
        wish: KeeperMessage.LoadRequest,
    ) {
        wish.sizes.forEach { sizes[it.model] = it }
        if (wish.adapter != null) return carryOutAdapter(wish)
        if (!wish.mayEvict && loading != null) return
        modelWishes.add(gateway, wish, clock.nowMs())
        demand.tell(gateway, Demand(wish.model, wish.requestsPerSecond), clock.nowMs())
        if (loading == null && snapshot?.models.isNullOrEmpty()) firstWishes.request() else beginNext()
    }

    /** Begins with the wish that is worth most, unless a model is on its way already. */
    private fun beginNext() {
        if (loading != null) return
        modelWishes.take(clock.nowMs(), snapshot?.models?.keys.orEmpty())?.let { carryOut(it) }
    }

    private fun carryOut(valued: ValuedWish) {
        loading = valued.wish.model
        markDirty()
        scope.launch {
            val outcome =
                try {
                    fulfil(valued.wish) { modelStep(valued) }
                } finally {
                    loading = null
                    leaving.clear()
                }
            logEnd(valued.wish, outcome)
            markDirty()
            beginNext()
        }
    }

    private fun carryOutAdapter(wish: KeeperMessage.LoadRequest) {
        val key = wish.model to wish.adapter
        if (!adapterWishes.add(key)) return
        scope.launch {
            val outcome =
                try {
                    fulfil(wish) { adapterStep(wish) }
                } finally {
                    adapterWishes -= key
                }
            logEnd(wish, outcome)
            markDirty()
        }
    }

    private fun logEnd(
        wish: KeeperMessage.LoadRequest,
        outcome: String,
    ) = EventLog.info(
        "wish ended",
        LogFields(target = TargetId(wish.target), outcome = outcome, extra = mapOf("model" to wish.model, "adapter" to wish.adapter)),
    )

    private suspend fun fulfil(
        wish: KeeperMessage.LoadRequest,
        step: suspend () -> Step,
    ): String {
        val endMs = clock.nowMs() + wish.timeoutMs
        while (clock.nowMs() < endMs) {
            when (val outcome = orders.withLock { step() }) {
                Step.Done -> return "held"
                is Step.Impossible -> return outcome.reason
                Step.Wait -> delay(BUSY_POLL_MS)
            }
        }
        return "patience ended"
    }

    private sealed class Step {
        data object Done : Step()

        data object Wait : Step()

        data class Impossible(
            val reason: String,
        ) : Step()
    }

    private suspend fun adapterStep(wish: KeeperMessage.LoadRequest): Step {
        val report = refresh() ?: return absent()
        val adapter = checkNotNull(wish.adapter)
        val adapters = report.models[wish.model]
        return when {
            adapters == null -> Step.Impossible("model is not held")
            adapter in adapters -> Step.Done
            (wish.model to adapter) in report.loadingAdapters || report.busy -> Step.Wait
            else -> loadAdapter(wish, adapter, report)
        }
    }

    private suspend fun modelStep(valued: ValuedWish): Step {
        val report = refresh() ?: return absent()
        val wish = valued.wish
        if (wish.model in report.models) {
            usage.touch(wish.model, null, clock.nowMs())
            return Step.Done
        }
        val neededMb = (sizes[wish.model] ?: return Step.Impossible("size of the model is unknown")).weightsMb
        val usedMb = usedMb(report) ?: return Step.Impossible("size of a held model is unknown")
        val reserveMb = (sizes.values.maxOf { it.adapterMb } * wish.adapterSlots - adapterMb(report)).coerceAtLeast(0)
        val missingMb = usedMb + neededMb + reserveMb - wish.memoryMb
        val victim = leaving.keys.firstOrNull { it in report.models }
        return when {
            missingMb > 0 && wish.mayEvict && victim == null -> chooseVictim(valued, report, missingMb)
            report.busy -> Step.Wait
            missingMb <= 0 -> order(wish, report, EngineOrder.Kind.LOAD, wish.model, null)
            victim == null -> Step.Impossible("no room")
            else -> unloadOnceUnused(wish, report, victim)
        }
    }

    private fun absent() = if (snapshot == null) Step.Impossible("the engine does not answer") else Step.Wait

    /** Chooses what makes way for the wish; gateways send that no more requests. */
    private fun chooseVictim(
        valued: ValuedWish,
        report: EngineSnapshot,
        missingMb: Long,
    ): Step {
        val candidates = evictionCandidates(valued.wish, report)
        val chosen =
            EvictionPlan.choose(candidates, missingMb, LoadValue.callersOf(valued.valueMs))
                ?: return Step.Impossible("all that is held is too small")
        if (chosen.costMs > valued.valueMs) return Step.Impossible("what is held is worth more")
        val victim = candidates.first { it.model == chosen.models.first() }
        val justLoaded = victim.inFlight == 0 && EvictionPlan.waitMs(victim) > 0
        if (justLoaded) return Step.Wait
        leaving[victim.model.value] = clock.nowMs()
        markDirty()
        return Step.Wait
    }

    private fun evictionCandidates(
        wish: KeeperMessage.LoadRequest,
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
                otherCopies = wish.copiesElsewhere.count { it == model },
                answerMs = demand.answerMs(model, nowMs) ?: EvictionCandidate.USUAL_ANSWER_MS,
                surplus = model in wish.surplus,
                reloadMs = if (model in report.inMemory || model in report.onDisk) RELOAD_AT_HAND_MS else RELOAD_FROM_STORE_MS,
            )
        }
    }

    /** Gateways send [victim] no more requests by now; those in progress may end first. */
    private suspend fun unloadOnceUnused(
        wish: KeeperMessage.LoadRequest,
        report: EngineSnapshot,
        victim: String,
    ): Step {
        val drains = usage.inFlight(victim, null) > 0 && clock.nowMs() - leaving.getValue(victim) < LONGEST_DRAIN_MS
        return if (drains) Step.Wait else order(wish, report, EngineOrder.Kind.UNLOAD, victim, null)
    }

    private suspend fun loadAdapter(
        wish: KeeperMessage.LoadRequest,
        adapter: String,
        report: EngineSnapshot,
    ): Step {
        val usedMb = usedMb(report) ?: return Step.Impossible("size of a held model is unknown")
        val adapterMb = (sizes[wish.model] ?: return Step.Impossible("size of the model is unknown")).adapterMb
        if (report.loadingAdapters.size >= MOST_ADAPTERS_IN_TRANSIT) return Step.Wait
        val held = report.models.flatMap { (model, adapters) -> adapters.map { model to it } }
        val full = held.size + report.loadingAdapters.size + 1 > wish.adapterSlots || usedMb + adapterMb > wish.memoryMb
        if (!full) {
            usage.touch(wish.model, adapter, clock.nowMs())
            return order(wish, report, EngineOrder.Kind.LOAD, wish.model, adapter)
        }
        val nowMs = clock.nowMs()
        val victim =
            held
                .filter { usage.inFlight(it.first, it.second) == 0 }
                .maxByOrNull { usage.idleMs(it.first, it.second, nowMs) }
                ?.takeIf { usage.idleMs(it.first, it.second, nowMs) >= SHORTEST_ADAPTER_IDLE_MS } ?: return Step.Wait
        return order(wish, report, EngineOrder.Kind.UNLOAD, victim.first, victim.second)
    }

    /** Memory that is or may be occupied; null when the size of something is unknown. */
    private fun usedMb(report: EngineSnapshot): Long? {
        if (report.models.keys.any { it !in sizes } || report.loadingAdapters.any { it.first !in sizes }) return null
        return report.models.keys.sumOf { sizes.getValue(it).weightsMb } + adapterMb(report)
    }

    private fun adapterMb(report: EngineSnapshot): Long =
        report.models.entries.sumOf { (model, adapters) -> sizes.getValue(model).adapterMb * adapters.size } +
            report.loadingAdapters.sumOf { sizes.getValue(it.first).adapterMb }

    private suspend fun order(
        wish: KeeperMessage.LoadRequest,
        report: EngineSnapshot,
        kind: EngineOrder.Kind,
        model: String,
        adapter: String?,
    ): Step {
        val order = EngineOrder(wish.target, kind, model, adapter, report.sequence, fence)
        val reply = engine.order(order)
        EventLog.info(
            "order",
            LogFields(
                target = TargetId(wish.target),
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
        /** Time between reports while nothing is asked for; a report from the engine's own host is fresh and free. */
        const val IDLE_POLL_MS = 100L

        /** Time between reports while each needs a new connection, since the engine is leaving. */
        const val CLOSING_POLL_MS = 1_000L

        /** Time between reports while the engine does not answer; each try is a new connection. */
        const val ABSENT_POLL_MS = 500L
        const val LONG_ABSENT_POLL_MS = 3_000L

        /** Time for which an engine that went away is expected back; longer than most restarts. */
        const val EXPECTED_MS = 8_000L

        /** Reports in a row that must fail before the engine counts as away. */
        const val MISSES_OF_ABSENCE = 2

        /** Time after which a model that makes way is unloaded though requests are in progress; the engine still ends those it has begun. */
        const val LONGEST_DRAIN_MS = 2_500L

        /** Time between reports while an order is being carried out; about a load of an adapter. */
        const val BUSY_POLL_MS = 10L

        /** Least time between two messages about the load alone. */
        const val LOAD_INTERVAL_MS = 200L

        /** Time between two messages about the load to different gateways, so that their number does not grow with the fleet. */
        const val LOAD_SPACING_MS = 40L

        /** Time in which gateways that start together have all come. */
        const val GATEWAYS_GATHER_MS = 300L

        /** Time in which gateways that have just met an empty engine ask for what their callers wait for. */
        const val WISHES_GATHER_MS = 100L

        /** Longest time between two full statuses while gateways talk. */
        const val STATUS_INTERVAL_MS = 2_000L

        /** An adapter that was loaded or used so recently stays; gateways tell of its requests within 500 ms. */
        const val SHORTEST_ADAPTER_IDLE_MS = 700L

        /** Engines take so many adapters at a time from the store. */
        const val MOST_ADAPTERS_IN_TRANSIT = 4

        /** Typical reload of a checkpoint that the engine's host still has. */
        const val RELOAD_AT_HAND_MS = 800L

        /** Typical load from the weight store. */
        const val RELOAD_FROM_STORE_MS = 6_000L

        /** Added to a fencing number that was refused: this process alone orders its engine, so its clock had gone back. */
        const val FENCE_STEP = 86_400_000L
    }
}
