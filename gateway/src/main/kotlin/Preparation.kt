package org.almondjunction.gateway

import kotlinx.coroutines.delay
import org.almondjunction.decisions.CopyPlan
import org.almondjunction.decisions.Rendezvous

/**
 * Preloads models that no target holds or that need more replicas, before callers request them.
 *
 * A model that no target holds is loaded where memory is free; if no host has a copy of its weights, the load may evict another model,
 * so that a copy is on the disk of a host when the model is requested. Each model is assigned to one gateway by rendezvous hashing over
 * the gateways connected to keepers.
 */
internal class Preparation(
    private val fleet: Fleet,
    private val selector: TargetSelector,
    private val state: GatewayState,
    private val gateway: String,
) {
    suspend fun run() {
        delay(SETTLE_MS)
        while (true) {
            prepare()
            delay(INTERVAL_MS)
        }
    }

    private suspend fun prepare() {
        val services = state.configuration?.services?.values ?: return
        val gateways = fleet.gateways
        services.forEach { service ->
            val plan = service.engine ?: return@forEach
            val ready = fleet.ready(service.service)
            val inTouch = ready.count { it.status != null }
            if (inTouch < ready.size * LEAST_SHARE_IN_TOUCH) return@forEach
            plan.models.values
                .filter { Rendezvous.order(it.model.value, gateways) { name -> name }.first() == gateway }
                .forEach { prepare(it, plan, ready) }
        }
    }

    private suspend fun prepare(
        model: ModelPlan,
        plan: EnginePlan,
        ready: List<Target>,
    ) {
        val name = model.model.value
        val (holders, others) = ready.partition { target -> target.status?.models?.any { it.model == name } ?: (name in target.models) }
        if (holders.isEmpty()) {
            val near = ready.filter { it.hasAtHand(name) }
            selector.askForModel(near.ifEmpty { ready }, plan, model, mayEvict = near.isEmpty())
            return
        }
        val load = selector.loadOf(name, holders, plan)
        val missed = holders.size < CopyPlan.needed(load)
        if (!missed && holders.size >= CopyPlan.worthHaving(load)) return
        val near = others.filter { it.hasAtHand(name) }.ifEmpty { others.takeIf { holders.size == 1 }.orEmpty() }
        if (near.isEmpty() || others.any { it.status?.loading == name }) return
        selector.askForModel(near, plan, model, mayEvict = missed)
    }

    private companion object {
        /** Minimum share of targets with a connected keeper; with fewer, this gateway itself is probably disconnected from the network. */
        const val LEAST_SHARE_IN_TOUCH = 0.5

        /** Time within which gateways and keepers are connected after a start of all hosts. */
        const val SETTLE_MS = 3_000L
        const val INTERVAL_MS = 500L
    }
}
