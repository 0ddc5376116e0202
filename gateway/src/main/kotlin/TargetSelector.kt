package org.almondjunction.gateway

import org.almondjunction.common.Clock
import org.almondjunction.common.ModelId
import org.almondjunction.common.ServiceId
import org.almondjunction.decisions.EvictionCandidate
import org.almondjunction.decisions.EvictionPlan
import org.almondjunction.decisions.LoadValue
import org.almondjunction.decisions.ModelWorkload
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.ReplicaPlan
import org.almondjunction.decisions.SoftwareVersion
import org.almondjunction.decisions.StoreLoadLimit
import org.almondjunction.decisions.TargetCandidate
import org.almondjunction.decisions.TargetChoice
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.keeper.ModelSize
import kotlin.math.abs

/** Selects the target for a request, and sends load requests to keepers for missing models and adapters. */
internal class TargetSelector(
    private val clock: Clock,
    private val registry: TargetRegistry,
    var topology: Topology,
    private val state: GatewayState,
) {
    /** Result of the selection for a request. */
    sealed class Choice {
        /** [target] can run the request now. */
        data class Selected(
            val target: Target,
        ) : Choice()

        /** A target is expected to be able to run the request after [expectedMs]. */
        data class Later(
            val expectedMs: Long,
        ) : Choice()

        /** All targets want no request before [waitMs] have passed. */
        data class AskedToWait(
            val waitMs: Long,
        ) : Choice()

        /** No target can run the request, for [reason]. */
        data class None(
            val reason: String,
        ) : Choice()
    }

    private class PendingLoad(
        val target: Target,
        val untilMs: Long,
        val expectedMs: Long,
        val fromStore: Boolean,
    )

    private val pendingLoads = mutableMapOf<String, PendingLoad>()
    private val startedMs = clock.nowMs()

    /**
     * Chooses a target for [request] that is not in [tried]; requests with [confinedPart] use one target only, and the rest of a stream only
     * targets of the [version] that began it.
     */
    suspend fun choose(
        request: ForwardedRequest,
        tried: Map<Target, Long>,
        confinedPart: Long? = null,
        version: SoftwareVersion? = null,
    ): Choice {
        val ready = registry.ready(request.service).filter { version == null || it.softwareVersion == version }
        if (ready.isEmpty()) {
            if (version != null) return Choice.None("no target of the version that began the stream")
            return registry.waitMs(request.service)?.let { Choice.AskedToWait(it.coerceAtLeast(1)) }
                ?: Choice.None("no target")
        }
        val nowMs = clock.nowMs()
        val eligible = ready.filter { target -> tried[target]?.let { nowMs >= it + RETRY_SAME_TARGET_MS } ?: true }
        val model =
            request.model ?: return select(eligible.ifEmpty { ready }.filter { hasRoom(it) }, request) ?: Choice.None("targets full")
        val engine =
            state.configuration
                ?.services
                ?.get(request.service)
                ?.engine
        val modelConfiguration = engine?.models?.get(ModelId(model))
        val holders = confine(eligible.filter { model in it.models }, confinedPart)
        if (holders.isEmpty()) {
            val elsewhere = ready.any { model in it.models }
            if (engine == null || modelConfiguration == null) return select(eligible, request) ?: Choice.None("no target")
            return if (elsewhere &&
                tried.isNotEmpty()
            ) {
                Choice.None("holders tried")
            } else {
                // A load, which may evict other models, takes longer than a short wait for an engine that holds the model.
                val waitMs = registry.waitMs(request.service, model)
                if (!elsewhere && waitMs != null && waitMs in 1..modelConfiguration.loadFromDiskMs) return Choice.AskedToWait(waitMs)
                val waiting = state.waitingCallers.weight(model, nowMs + modelConfiguration.loadFromDiskMs)
                requestModel(
                    ready,
                    engine,
                    modelConfiguration,
                    mayEvict = true,
                    callers = maxOf(waiting, LoadValue.callerWeight(inTime = false)),
                    tooLateForCallers = state.configuration?.loadsTooLateForCallers(request.service, modelConfiguration) ?: false,
                )
            }
        }
        val adapter = request.adapter
        if (adapter == null) return select(holders, request) ?: Choice.None("no target")
        val withAdapter = holders.filter { adapter in it.models[model].orEmpty() }
        if (withAdapter.isNotEmpty()) return select(withAdapter, request) ?: Choice.None("no target")
        if (engine == null || modelConfiguration == null) return Choice.None("adapter not loaded")
        return requestAdapter(holders, engine, model, adapter)
    }

    /** A target that can begin a request at once, with the expected time to the first part of its answer. */
    class FreeTarget(
        val target: Target,
        val expectedMs: Double,
    )

    /** Chooses a free target of [version] for [request] that holds its model and is not in [excluded]; orders no load. */
    fun chooseFree(
        request: ForwardedRequest,
        excluded: Set<Target>,
        version: SoftwareVersion? = null,
    ): FreeTarget? {
        val adapter = request.adapter
        val candidates =
            registry
                .ready(request.service)
                .filter { target ->
                    val adapters = target.models[request.model]
                    val holdsWeights = request.model == null || (adapters != null && (adapter == null || adapter in adapters))
                    target.free && target !in excluded && holdsWeights && (version == null || target.softwareVersion == version)
                }.associateBy { candidate(it, request) }
        return TargetChoice.choose(candidates.keys.toList())?.let { FreeTarget(candidates.getValue(it), it.expectedMs) }
    }

    /** Returns the one of [holders] to which all gateways send requests with [part], so that they end at most one at a time. */
    private fun confine(
        holders: List<Target>,
        part: Long?,
    ): List<Target> = if (part == null) holders else Rendezvous.order(part.toString(), holders) { it.entry.address.toString() }.take(1)

    private fun select(
        targets: List<Target>,
        request: ForwardedRequest,
    ): Choice? {
        val candidates = targets.associateBy({ candidate(it, request) }, { it })
        return TargetChoice.choose(candidates.keys.toList())?.let { Choice.Selected(candidates.getValue(it)) }
    }

    private fun hasRoom(target: Target) = target.inFlight.size < target.entry.slots * PLAIN_QUEUE_FACTOR

    private fun candidate(
        target: Target,
        request: ForwardedRequest,
    ): TargetCandidate {
        val model = request.model
        val key = if (model == null) request.id else request.weights + request.parts.sharedKey(SHARED_PARTS)
        val ownPromptTokens = target.inFlight.filter { !it.answering }.sumOf { it.promptTokens }
        val others = (target.load.active + target.load.queued - target.inFlight.size).coerceAtLeast(0)
        val waitMs =
            if (model == null) {
                val excess = (target.inFlight.size + 1 - target.entry.slots).coerceAtLeast(0)
                target.inFlight.size * PLAIN_IN_FLIGHT_COST_MS + excess * PLAIN_REQUEST_MS / target.entry.slots.coerceAtLeast(1)
            } else {
                ownPromptTokens / PROMPT_TOKENS_PER_MS + others * OTHERS_PROMPT_MS + target.load.queued * QUEUED_PROMPT_MS
            }
        return TargetCandidate(
            target = target.entry.target,
            distanceMs = topology.delayMs(target.entry.zone),
            waitMs = waitMs,
            workMs = if (model == null) 0.0 else target.uncachedTokens(request) / PROMPT_TOKENS_PER_MS,
            failureShare = target.failureShare(),
            affinity = Rendezvous.score(key, target.entry.target.value),
        )
    }

    private suspend fun requestAdapter(
        holders: List<Target>,
        engine: EngineConfiguration,
        model: String,
        adapter: String,
    ): Choice {
        val connected = holders.filter { it.status != null }
        val free = connected.filter { it.status?.busy == false && it.status?.loading == null }
        val chosen =
            free.ifEmpty { connected }.maxByOrNull { Rendezvous.score("$model/$adapter", it.entry.target.value) - it.failureShare() }
        if (chosen == null) return Choice.None("no keeper in touch")
        if (chosen.mayRequestLoad(model, adapter, ADAPTER_REQUEST_INTERVAL_MS)) {
            requestLoad(chosen, engine, model, adapter, ADAPTER_TIMEOUT_MS, mayEvict = true)
        }
        return Choice.Later(if (free.isEmpty()) ADAPTER_BEHIND_LOAD_MS else ADAPTER_LOAD_MS)
    }

    /**
     * Requests that one of [ready] loads [model] for [callers], the number of waiting callers weighted by [LoadValue].
     *
     * If loads from the weight store are [tooLateForCallers], they are left to [ModelPreloader], which orders them for all gateways within its
     * [limit].
     */
    suspend fun requestModel(
        ready: List<Target>,
        engine: EngineConfiguration,
        model: ModelConfiguration,
        mayEvict: Boolean,
        callers: Double = 0.0,
        tooLateForCallers: Boolean = false,
        limit: StoreLoadLimit? = null,
    ): Choice {
        val name = model.model.value
        val nowMs = clock.nowMs()
        val connected = ready.filter { it.status != null }
        val withLocalCopy = connected.filter { it.hasLocalCopy(name) }
        val loading = connected.filter { it.status?.loading == name }.minByOrNull { remainingLoadMs(it, engine) }
        if (loading != null && (withLocalCopy.isEmpty() || loading in withLocalCopy)) return Choice.Later(currentLoadMs(loading, engine))
        pendingLoads[name]?.takeIf { it.untilMs > nowMs && it.target in connected }?.let { return Choice.Later(it.expectedMs) }
        if (connected.isEmpty()) return Choice.None("no keeper in touch")
        if (withLocalCopy.isEmpty() && connected.size < ready.size && nowMs - startedMs < KEEPER_DISCOVERY_MS) {
            return Choice.Later(KEEPER_DISCOVERY_MS)
        }
        if (withLocalCopy.isEmpty()) restartMs(connected.first().entry.service, model)?.let { return Choice.Later(it) }
        if (withLocalCopy.isEmpty() && tooLateForCallers) return Choice.Later(model.loadMs)
        val demand = demandFor(model)
        val maximumLoads =
            when {
                demand >= BUSY_REQUESTS_PER_SECOND -> StoreLoadLimit.MOST
                limit != null -> limit.current(nowMs)
                else -> StoreLoadLimit.FEWEST
            }
        val loads = connected.count { it.loadsFromStore } + if (limit != null) requestedStoreLoads else 0
        if (withLocalCopy.isEmpty() && loads >= maximumLoads) return Choice.Later(model.loadMs * 2)
        val valueMs = LoadValue.valueMs(callers, demand)
        val candidates = withLocalCopy.ifEmpty { connected }
        val best =
            candidates
                .mapNotNull { target ->
                    val costMs = costOfLoad(target, engine, model, mayEvict, valueMs) ?: return@mapNotNull null
                    target to costMs + if (withLocalCopy.isEmpty()) displacementCostMs(target, connected, engine) else 0
                }.minByOrNull { it.second }
        val target = best?.first ?: return if (mayEvict) Choice.Later(model.loadFromDiskMs) else Choice.None("no room")
        // A model with high demand is loaded before other pending load requests.
        val beforeMs = if (demand >= BUSY_REQUESTS_PER_SECOND) currentLoadMs(target, engine) else remainingLoadMs(target, engine)
        val expectedMs = beforeMs + loadMs(target, model)
        pendingLoads[name] = PendingLoad(target, nowMs + MODEL_REQUEST_INTERVAL_MS, expectedMs, fromStore = withLocalCopy.isEmpty())
        requestLoad(target, engine, name, null, model.loadMs * 2, mayEvict, callers)
        return Choice.Later(expectedMs)
    }

    /**
     * Returns the expected time until a target of [service] that does not answer has restarted and loaded [model] from its host's disk; null
     * if there is none.
     *
     * It is awaited for as long as a load from the weight store takes, so that callers wait at most twice as long as without it.
     */
    private fun restartMs(
        service: ServiceId,
        model: ModelConfiguration,
    ): Long? =
        registry
            .unreachable(service)
            .filter { it.hasLocalCopy(model.model.value) && it.unreachableForMs < model.loadMs }
            .minOfOrNull { (RESTART_MS - it.unreachableForMs).coerceAtLeast(MINIMUM_REMAINING_LOAD_MS) + model.loadFromDiskMs }

    /** Returns the target that was last asked to load [model]; null if none was. */
    fun requestedTarget(model: String): Target? = pendingLoads[model]?.target

    /** Number of loads from the weight store that this gateway has requested and their keepers do not report yet. */
    val requestedStoreLoads: Int get() =
        pendingLoads.count { (name, load) -> load.fromStore && load.untilMs > clock.nowMs() && load.target.status?.loading != name }

    /** Records in [limit] how long the loads from the weight store in progress on [ready] have taken. */
    fun observeStoreLoads(
        ready: List<Target>,
        engine: EngineConfiguration,
        limit: StoreLoadLimit,
    ) {
        val loading = ready.filter { it.loadsFromStore }
        loading.forEach { target ->
            val model = target.status?.loading?.let { engine.models[ModelId(it)] } ?: return@forEach
            limit.record(target.loadingForMs, model.loadMs, loading.size, clock.nowMs())
        }
    }

    /** Returns the recent demand of all gateways for [model], estimated from that of this one, in requests per second. */
    fun demandFor(model: ModelConfiguration): Double = state.demand.perSecond(model.model.value, clock.nowMs()) * registry.gateways.size

    /** Returns the expected time until the load in progress and the pending loads of [target] are complete; 0 if there are none. */
    private fun remainingLoadMs(
        target: Target,
        engine: EngineConfiguration,
    ): Long {
        val queuedMs =
            target.status
                ?.pendingLoads
                .orEmpty()
                .sumOf { pending -> engine.models[ModelId(pending)]?.let { loadMs(target, it) } ?: 0 }
        return currentLoadMs(target, engine) + queuedMs
    }

    private fun currentLoadMs(
        target: Target,
        engine: EngineConfiguration,
    ): Long {
        val name = target.status?.loading ?: return 0
        val model = engine.models[ModelId(name)] ?: return 0
        // An overdue load is expected to take as long again as it is late by now.
        return abs(loadMs(target, model) - target.loadingForMs).coerceAtLeast(MINIMUM_REMAINING_LOAD_MS)
    }

    private fun loadMs(
        target: Target,
        model: ModelConfiguration,
    ): Long {
        val status = target.status
        return when {
            status != null && model.model.value in status.inMemory -> model.loadFromMemoryMs
            status != null && model.model.value in status.onDisk -> model.loadFromDiskMs
            else -> model.loadMs
        }
    }

    /** Returns the expected time until [target] holds [model] plus the cost to other requests; null if it cannot load the model. */
    private fun costOfLoad(
        target: Target,
        engine: EngineConfiguration,
        model: ModelConfiguration,
        mayEvict: Boolean,
        valueMs: Double,
    ): Double? {
        val status = target.status ?: return null
        val usedMb = status.models.sumOf { held -> engine.models[ModelId(held.model)]?.weightsMb ?: engine.weightsMb }
        val reserveMb = engine.adapterSlots * (engine.models.values.maxOfOrNull { it.adapterMb } ?: 0)
        val missingMb = usedMb + model.weightsMb + reserveMb - engine.weightsMb
        if (missingMb > 0 && !mayEvict) return null
        val eviction =
            EvictionPlan.choose(evictionCandidates(target, status, engine), missingMb, LoadValue.callersOf(valueMs)) ?: return null
        if (eviction.costMs > valueMs) return null
        val storeMs = if (target.hasLocalCopy(model.model.value)) 0 else STORE_LOAD_COST_MS
        val tieBreak = Rendezvous.score(model.model.value, target.entry.target.value)
        val failures = target.failureShare() * model.loadMs
        val delayOfOthersMs = loadMs(target, model) * status.models.sumOf { it.requestsPerSecond.toDouble() } * DELAYED_SHARE
        return remainingLoadMs(target, engine) + loadMs(target, model) + storeMs + eviction.costMs + eviction.waitMs + tieBreak + failures +
            delayOfOthersMs
    }

    /**
     * Returns the cost of displacing the last copy of another model from the disk of [target], which is a later load from the weight store;
     * 0 if one of the [others] has a copy too.
     *
     * Hosts list the copies on their disk with the least recently used first, and displace that one for weights from the store.
     */
    private fun displacementCostMs(
        target: Target,
        others: List<Target>,
        engine: EngineConfiguration,
    ): Long {
        val displaced = target.status?.onDisk?.firstOrNull() ?: return 0
        val model = engine.models[ModelId(displaced)] ?: return 0
        val elsewhere = others.any { it !== target && it.hasLocalCopy(displaced) }
        return if (elsewhere) 0 else model.loadMs + STORE_LOAD_COST_MS
    }

    private fun evictionCandidates(
        target: Target,
        status: KeeperMessage.Status,
        engine: EngineConfiguration,
    ): List<EvictionCandidate> {
        val others = registry.otherTargets(target)
        return status.models.map { held ->
            val replicas = otherReplicas(target, others, held.model, engine)
            val heldConfiguration = engine.models[ModelId(held.model)]
            val hasLocalCopy = held.model in status.inMemory || held.model in status.onDisk
            EvictionCandidate(
                model = ModelId(held.model),
                memoryMb = heldConfiguration?.weightsMb ?: 0,
                requestsPerSecond = held.requestsPerSecond.toDouble(),
                idleMs = held.idleMs,
                inFlight = held.inFlight,
                otherReplicas = replicas.count,
                answerMs = state.workStatistics.answerMs(held.model).toLong(),
                surplus = replicas.suffice,
                reloadMs = (if (hasLocalCopy) heldConfiguration?.loadFromDiskMs else heldConfiguration?.loadMs) ?: 0,
            )
        }
    }

    private suspend fun requestLoad(
        target: Target,
        engine: EngineConfiguration,
        model: String,
        adapter: String?,
        timeoutMs: Long,
        mayEvict: Boolean,
        callers: Double = 1.0,
    ) {
        val held =
            (
                target.models.keys +
                    target.status
                        ?.models
                        .orEmpty()
                        .map { it.model } + model
            ).distinct()
        val sizes = held.mapNotNull { engine.models[ModelId(it)] }.map { ModelSize(it.model.value, it.weightsMb, it.adapterMb) }
        val others = registry.otherTargets(target)
        val replicas = held.associateWith { otherReplicas(target, others, it, engine) }
        target.keeper?.send(
            KeeperMessage.LoadRequest(
                target = target.entry.target.value,
                model = model,
                adapter = adapter,
                timeoutMs = timeoutMs,
                mayEvict = mayEvict,
                memoryMb = engine.weightsMb,
                adapterSlots = engine.adapterSlots,
                sizes = sizes,
                copiesElsewhere = replicas.flatMap { (name, replicas) -> List(replicas.count) { name } },
                surplus = replicas.filterValues { it.suffice }.keys.toList(),
                callers = callers.toFloat(),
                requestsPerSecond = state.demand.perSecond(model, clock.nowMs()).toFloat(),
            ),
        )
    }

    /**
     * Replicas of a model on other targets that permit eviction of the one on a given target.
     *
     * @property suffice whether they can serve all callers of the model without it
     */
    private class Replicas(
        val count: Int,
        val suffice: Boolean,
    )

    /**
     * Returns the replicas of [model] on [others] if the one on [target] may be evicted, otherwise none.
     *
     * All gateways select the same single replica as evictable, so that concurrent decisions never evict all replicas.
     */
    private fun otherReplicas(
        target: Target,
        others: List<Target>,
        model: String,
        engine: EngineConfiguration,
    ): Replicas {
        val holders = others.filter { model in it.models }
        val score = { holder: Target -> Rendezvous.score(model, holder.entry.target.value) }
        if (holders.isEmpty() || holders.any { score(it) < score(target) }) return Replicas(0, suffice = false)
        val suffice = holders.size >= ReplicaPlan.needed(loadOf(model, holders + target, engine))
        return Replicas(holders.size.coerceAtMost(MAXIMUM_REPORTED_REPLICAS), suffice)
    }

    /** Returns the load on [model] from all gateways, as reported by the keepers of its [holders]. */
    fun loadOf(
        model: String,
        holders: List<Target>,
        engine: EngineConfiguration,
    ): ModelWorkload {
        val requestsPerSecond =
            holders.sumOf { holder ->
                val held = holder.status?.models?.firstOrNull { it.model == model }
                held?.requestsPerSecond?.toDouble() ?: 0.0
            }
        return state.workStatistics.workload(model, requestsPerSecond, PROMPT_TOKENS_PER_MS, engine.batch)
    }

    private companion object {
        /** Maximum number of requests of this gateway at a plain target for each of its slots. */
        const val PLAIN_QUEUE_FACTOR = 3

        /** Duration of a short request, from the users' requirements. */
        const val PLAIN_REQUEST_MS = 40.0

        /** Cost of each request in flight; prefers the less busy of two targets with free slots. */
        const val PLAIN_IN_FLIGHT_COST_MS = 4.0

        /** Rate at which engines process prompts, from the users' requirements. */
        const val PROMPT_TOKENS_PER_MS = 38.7

        /** Expected prompt processing left for each request of another gateway, most of which are past that stage. */
        const val OTHERS_PROMPT_MS = 12.0

        /** Expected prompt processing for each request that is queued in an engine. */
        const val QUEUED_PROMPT_MS = 120.0

        /** Number of leading prompt parts that requests have in common; later parts belong to one session. */
        const val SHARED_PARTS = 2

        const val ADAPTER_REQUEST_INTERVAL_MS = 150L
        const val ADAPTER_TIMEOUT_MS = 2_000L
        const val ADAPTER_LOAD_MS = 40L

        /** An adapter waits for a model load on the same engine; most of these use a copy on the engine's host. */
        const val ADAPTER_BEHIND_LOAD_MS = 600L

        /** Time after which a request may be sent again to a target that refused it because of a load order or a full queue. */
        const val RETRY_SAME_TARGET_MS = 150L
        const val MODEL_REQUEST_INTERVAL_MS = 400L

        /** Share of a target's requests that are delayed by a model load, since they need an adapter that is not loaded. */
        const val DELAYED_SHARE = 0.15

        /** Typical time from the crash of an engine until it answers again. */
        const val RESTART_MS = 2_500L

        /** Minimum of the expected remaining time of a load in progress. */
        const val MINIMUM_REMAINING_LOAD_MS = 100L

        /** Time after a start in which the gateway connects to keepers, some of which may have local copies of the weights. */
        const val KEEPER_DISCOVERY_MS = 2_000L

        /** Demand over all gateways from which a model counts as busy: above that of any rarely requested model. */
        const val BUSY_REQUESTS_PER_SECOND = 1.0

        /** Maximum number of replicas reported to a keeper; more make no difference to its decisions. */
        const val MAXIMUM_REPORTED_REPLICAS = 3

        /** Cost of a load from the weight store beyond its duration: it occupies the engine's order queue and the store. */
        const val STORE_LOAD_COST_MS = 8_000L
    }
}
