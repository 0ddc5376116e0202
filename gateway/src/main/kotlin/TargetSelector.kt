package org.almondjunction.gateway

import org.almondjunction.common.Clock
import org.almondjunction.common.ModelId
import org.almondjunction.decisions.CopyPlan
import org.almondjunction.decisions.EvictionCandidate
import org.almondjunction.decisions.EvictionPlan
import org.almondjunction.decisions.LoadValue
import org.almondjunction.decisions.ModelLoad
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.TargetCandidate
import org.almondjunction.decisions.TargetChoice
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.keeper.ModelSize

/** Selects the target for a request, and sends load requests to keepers for missing models and adapters. */
internal class TargetSelector(
    private val clock: Clock,
    private val fleet: Fleet,
    var place: Place,
    private val state: GatewayState,
) {
    /** Result of the selection for a request. */
    sealed class Choice {
        /** [target] can run the request now. */
        data class Use(
            val target: Target,
        ) : Choice()

        /** A target is expected to be able to run the request after [expectedMs]. */
        data class Later(
            val expectedMs: Long,
        ) : Choice()

        /** No target can run the request, for [reason]. */
        data class None(
            val reason: String,
        ) : Choice()
    }

    private class Asked(
        val target: Target,
        val untilMs: Long,
        val expectedMs: Long,
    )

    private val asked = mutableMapOf<String, Asked>()
    private val startedMs = clock.nowMs()

    suspend fun choose(
        request: ForwardedRequest,
        tried: Map<Target, Long>,
    ): Choice {
        val ready = fleet.ready(request.service)
        if (ready.isEmpty()) return Choice.None("no target")
        val nowMs = clock.nowMs()
        val fresh = ready.filter { target -> tried[target]?.let { nowMs >= it + TRY_AGAIN_MS } ?: true }
        val model = request.model ?: return use(fresh.ifEmpty { ready }.filter { hasRoom(it) }, request) ?: Choice.None("targets full")
        val plan =
            state.configuration
                ?.services
                ?.get(request.service)
                ?.engine
        val modelPlan = plan?.models?.get(ModelId(model))
        val holders = fresh.filter { model in it.models }
        if (holders.isEmpty()) {
            val elsewhere = ready.any { model in it.models }
            if (plan == null || modelPlan == null) return use(fresh, request) ?: Choice.None("no target")
            return if (elsewhere &&
                tried.isNotEmpty()
            ) {
                Choice.None("holders tried")
            } else {
                val waiting = state.waiting.weight(model, nowMs + modelPlan.loadFromDiskMs)
                askForModel(ready, plan, modelPlan, mayEvict = true, callers = maxOf(waiting, LoadValue.weightOf(inTime = false)))
            }
        }
        val adapter = request.adapter
        if (adapter == null) return use(holders, request) ?: Choice.None("no target")
        val equipped = holders.filter { adapter in it.models[model].orEmpty() }
        if (equipped.isNotEmpty()) return use(equipped, request) ?: Choice.None("no target")
        if (plan == null || modelPlan == null) return Choice.None("adapter not loaded")
        return askForAdapter(holders, plan, model, adapter)
    }

    private fun use(
        targets: List<Target>,
        request: ForwardedRequest,
    ): Choice? {
        val candidates = targets.associateBy({ candidate(it, request) }, { it })
        return TargetChoice.choose(candidates.keys.toList())?.let { Choice.Use(candidates.getValue(it)) }
    }

    private fun hasRoom(target: Target) = target.inFlight.size < target.entry.slots * PLAIN_QUEUE_FACTOR

    private fun candidate(
        target: Target,
        request: ForwardedRequest,
    ): TargetCandidate {
        val model = request.model
        val key = if (model == null) request.id else request.weights + request.parts.take(SHARED_PARTS).joinToString { it.id }
        val ownReading = target.inFlight.filter { !it.answering }.sumOf { it.promptTokens }
        val others = (target.load.active + target.load.queued - target.inFlight.size).coerceAtLeast(0)
        val wait =
            if (model == null) {
                val beyond = (target.inFlight.size + 1 - target.entry.slots).coerceAtLeast(0)
                target.inFlight.size * PLAIN_SHARE_MS + beyond * PLAIN_WORK_MS / target.entry.slots.coerceAtLeast(1)
            } else {
                ownReading / TOKENS_READ_PER_MS + others * OTHERS_READING_MS + target.load.queued * QUEUED_MS
            }
        return TargetCandidate(
            target = target.entry.target,
            distanceMs = place.distanceMs(target.entry.zone),
            waitMs = wait,
            workMs = if (model == null) 0.0 else target.unreadTokens(request) / TOKENS_READ_PER_MS,
            failureShare = target.failureShare(),
            affinity = Rendezvous.share(key, target.entry.target.value),
        )
    }

    private suspend fun askForAdapter(
        holders: List<Target>,
        plan: EnginePlan,
        model: String,
        adapter: String,
    ): Choice {
        val inTouch = holders.filter { it.status != null }
        val free = inTouch.filter { it.status?.busy == false && it.status?.loading == null }
        val chosen = free.ifEmpty { inTouch }.maxByOrNull { Rendezvous.share("$model/$adapter", it.entry.target.value) - it.failureShare() }
        if (chosen == null) return Choice.None("no keeper in touch")
        if (chosen.mayAsk(model, adapter, ADAPTER_ASK_INTERVAL_MS)) {
            wish(chosen, plan, model, adapter, ADAPTER_PATIENCE_MS, mayEvict = true)
        }
        return Choice.Later(if (free.isEmpty()) ADAPTER_BEHIND_LOAD_MS else ADAPTER_EXPECTED_MS)
    }

    /** Requests that one of [ready] loads [model] for [callers], the number of waiting callers weighted by [LoadValue]. */
    suspend fun askForModel(
        ready: List<Target>,
        plan: EnginePlan,
        model: ModelPlan,
        mayEvict: Boolean,
        callers: Double = 0.0,
    ): Choice {
        val name = model.model.value
        val nowMs = clock.nowMs()
        val inTouch = ready.filter { it.status != null }
        val near = inTouch.filter { it.hasAtHand(name) }
        val loading = inTouch.filter { it.status?.loading == name }.minByOrNull { remainingLoadMs(it, plan) }
        if (loading != null && (near.isEmpty() || loading in near)) return Choice.Later(currentLoadMs(loading, plan))
        asked[name]?.takeIf { it.untilMs > nowMs && it.target in inTouch }?.let { return Choice.Later(it.expectedMs) }
        if (inTouch.isEmpty()) return Choice.None("no keeper in touch")
        if (near.isEmpty() && inTouch.size < ready.size && nowMs - startedMs < MEETING_MS) return Choice.Later(MEETING_MS)
        val demand = state.demand.perSecond(name, nowMs) * fleet.gateways.size
        val mostLoads = if (demand >= BUSY_REQUESTS_PER_SECOND) MOST_STORE_LOADS_WITH_BUSY_MODELS else MOST_STORE_LOADS
        if (near.isEmpty() && inTouch.count { it.loadsFromStore } >= mostLoads) return Choice.Later(model.loadMs * 2)
        val valueMs = LoadValue.ofMs(callers, demand)
        val possible = near.ifEmpty { inTouch }
        val best =
            possible
                .mapNotNull { target ->
                    costOfLoad(target, plan, model, mayEvict, valueMs)?.let { target to it }
                }.minByOrNull { it.second }
        val target = best?.first ?: return if (mayEvict) Choice.Later(model.loadFromDiskMs) else Choice.None("no room")
        // A model with high demand is loaded before other pending load requests.
        val beforeMs = if (demand >= BUSY_REQUESTS_PER_SECOND) currentLoadMs(target, plan) else remainingLoadMs(target, plan)
        val expectedMs = beforeMs + loadMs(target, model)
        asked[name] = Asked(target, nowMs + MODEL_ASK_INTERVAL_MS, expectedMs)
        wish(target, plan, name, null, model.loadMs * 2, mayEvict, callers)
        return Choice.Later(expectedMs)
    }

    /** Returns the expected time until the load in progress and the pending loads of [target] are complete; 0 if there are none. */
    private fun remainingLoadMs(
        target: Target,
        plan: EnginePlan,
    ): Long {
        val queuedMs =
            target.status
                ?.wished
                .orEmpty()
                .sumOf { wished -> plan.models[ModelId(wished)]?.let { loadMs(target, it) } ?: 0 }
        return currentLoadMs(target, plan) + queuedMs
    }

    private fun currentLoadMs(
        target: Target,
        plan: EnginePlan,
    ): Long {
        val name = target.status?.loading ?: return 0
        val model = plan.models[ModelId(name)] ?: return 0
        return (loadMs(target, model) - target.loadingForMs).coerceAtLeast(SHORTEST_LOAD_MS)
    }

    private fun loadMs(
        target: Target,
        model: ModelPlan,
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
        plan: EnginePlan,
        model: ModelPlan,
        mayEvict: Boolean,
        valueMs: Double,
    ): Double? {
        val status = target.status ?: return null
        val usedMb = status.models.sumOf { held -> plan.models[ModelId(held.model)]?.weightsMb ?: plan.weightsMb }
        val reserveMb = plan.adapterSlots * (plan.models.values.maxOfOrNull { it.adapterMb } ?: 0)
        val missingMb = usedMb + model.weightsMb + reserveMb - plan.weightsMb
        if (missingMb > 0 && !mayEvict) return null
        val eviction = EvictionPlan.choose(evictionCandidates(target, status, plan), missingMb, LoadValue.callersOf(valueMs)) ?: return null
        if (eviction.costMs > valueMs) return null
        val storeMs = if (target.hasAtHand(model.model.value)) 0 else STORE_LOAD_MS
        val tie = Rendezvous.share(model.model.value, target.entry.target.value)
        val failures = target.failureShare() * model.loadMs
        val othersMs = loadMs(target, model) * status.models.sumOf { it.requestsPerSecond.toDouble() } * SHARE_HELD_UP
        return remainingLoadMs(target, plan) + loadMs(target, model) + storeMs + eviction.costMs + eviction.waitMs + tie + failures +
            othersMs
    }

    private fun evictionCandidates(
        target: Target,
        status: KeeperMessage.Status,
        plan: EnginePlan,
    ): List<EvictionCandidate> {
        val others = fleet.othersBeside(target)
        return status.models.map { held ->
            val copies = copiesBeside(target, others, held.model, plan)
            val heldPlan = plan.models[ModelId(held.model)]
            val atHand = held.model in status.inMemory || held.model in status.onDisk
            EvictionCandidate(
                model = ModelId(held.model),
                memoryMb = heldPlan?.weightsMb ?: 0,
                requestsPerSecond = held.requestsPerSecond.toDouble(),
                idleMs = held.idleMs,
                inFlight = held.inFlight,
                otherCopies = copies.count,
                answerMs = state.work.answerMs(held.model).toLong(),
                surplus = copies.suffice,
                reloadMs = (if (atHand) heldPlan?.loadFromDiskMs else heldPlan?.loadMs) ?: 0,
            )
        }
    }

    private suspend fun wish(
        target: Target,
        plan: EnginePlan,
        model: String,
        adapter: String?,
        patienceMs: Long,
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
        val sizes = held.mapNotNull { plan.models[ModelId(it)] }.map { ModelSize(it.model.value, it.weightsMb, it.adapterMb) }
        val others = fleet.othersBeside(target)
        val copies = held.associateWith { copiesBeside(target, others, it, plan) }
        target.keeper?.send(
            KeeperMessage.Wish(
                target = target.entry.target.value,
                model = model,
                adapter = adapter,
                patienceMs = patienceMs,
                mayEvict = mayEvict,
                memoryMb = plan.weightsMb,
                adapterSlots = plan.adapterSlots,
                sizes = sizes,
                copiesElsewhere = copies.flatMap { (name, copies) -> List(copies.count) { name } },
                surplus = copies.filterValues { it.suffice }.keys.toList(),
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
    private class Copies(
        val count: Int,
        val suffice: Boolean,
    )

    /**
     * Returns the replicas of [model] on [others] if the one on [target] may be evicted, otherwise none.
     *
     * All gateways select the same single replica as evictable, so that concurrent decisions never evict all replicas.
     */
    private fun copiesBeside(
        target: Target,
        others: List<Target>,
        model: String,
        plan: EnginePlan,
    ): Copies {
        val holders = others.filter { model in it.models }
        val share = { holder: Target -> Rendezvous.share(model, holder.entry.target.value) }
        if (holders.isEmpty() || holders.any { share(it) < share(target) }) return Copies(0, suffice = false)
        val suffice = holders.size >= CopyPlan.needed(loadOf(model, holders + target, plan))
        return Copies(holders.size.coerceAtMost(MOST_COPIES_TOLD), suffice)
    }

    /** Returns the load on [model] from all gateways, as reported by the keepers of its [holders]. */
    fun loadOf(
        model: String,
        holders: List<Target>,
        plan: EnginePlan,
    ): ModelLoad {
        val requestsPerSecond =
            holders.sumOf { holder ->
                val held = holder.status?.models?.firstOrNull { it.model == model }
                held?.requestsPerSecond?.toDouble() ?: 0.0
            }
        return state.work.load(model, requestsPerSecond, TOKENS_READ_PER_MS, plan.batch)
    }

    private companion object {
        /** Maximum number of requests of this gateway at a plain target for each of its slots. */
        const val PLAIN_QUEUE_FACTOR = 3

        /** Duration of a short request, from the users' requirements. */
        const val PLAIN_WORK_MS = 40.0

        /** Cost of each request in flight; prefers the less busy of two targets with free slots. */
        const val PLAIN_SHARE_MS = 4.0

        /** Rate at which engines process prompts, from the users' requirements. */
        const val TOKENS_READ_PER_MS = 38.7

        /** Expected prompt processing left for each request of another gateway, most of which are past that stage. */
        const val OTHERS_READING_MS = 12.0

        /** Expected prompt processing for each request that is queued in an engine. */
        const val QUEUED_MS = 120.0

        /** Number of leading prompt parts that requests have in common; later parts belong to one session. */
        const val SHARED_PARTS = 2

        const val ADAPTER_ASK_INTERVAL_MS = 150L
        const val ADAPTER_PATIENCE_MS = 2_000L
        const val ADAPTER_EXPECTED_MS = 40L

        /** An adapter waits for a model load on the same engine; most of these use a copy on the engine's host. */
        const val ADAPTER_BEHIND_LOAD_MS = 600L

        /** Time after which a request may be sent again to a target that refused it because of a load order or a full queue. */
        const val TRY_AGAIN_MS = 150L
        const val MODEL_ASK_INTERVAL_MS = 400L

        /** Share of a target's requests that are delayed by a model load, since they need an adapter that is not loaded. */
        const val SHARE_HELD_UP = 0.15

        /** Minimum of the expected remaining time of a load in progress. */
        const val SHORTEST_LOAD_MS = 100L

        /** Time after a start in which the gateway connects to keepers, some of which may have local copies of the weights. */
        const val MEETING_MS = 2_000L

        /** Concurrent loads from the weight store over all engines: the fewest that any of the users' stores supports at full speed. */
        const val MOST_STORE_LOADS = 2

        /** The same limit for models with high demand, so that rarely requested models never delay them. */
        const val MOST_STORE_LOADS_WITH_BUSY_MODELS = 4

        /** Demand over all gateways from which a model counts as busy: above that of any rarely requested model. */
        const val BUSY_REQUESTS_PER_SECOND = 1.0

        /** Maximum number of replicas reported to a keeper; more make no difference to its decisions. */
        const val MOST_COPIES_TOLD = 3

        /** Cost of a load from the weight store beyond its duration: it occupies the engine's order queue and the store. */
        const val STORE_LOAD_MS = 8_000L
    }
}
