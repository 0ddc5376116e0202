package org.almondjunction.gateway

import kotlinx.coroutines.delay
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.ReplicaPlan

/**
 * Has models loaded that no target holds, before callers ask for them: where there is room, and where no host has the weights at hand
 * even in the place of another, so that they are on a host's disk when they are asked for.
 *
 * Gateways share the work: each model is looked after by the one that comes first for it among those that keepers see.
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
        val missed = holders.size < ReplicaPlan.needed(load)
        if (!missed && holders.size >= ReplicaPlan.desired(load)) return
        val near = others.filter { it.hasAtHand(name) }.ifEmpty { others.takeIf { holders.size == 1 }.orEmpty() }
        if (near.isEmpty() || others.any { it.status?.loading == name }) return
        selector.askForModel(near, plan, model, mayEvict = missed)
    }

    private companion object {
        /** Share of the targets that must be in touch; with fewer, this gateway is likely to be cut off itself. */
        const val LEAST_SHARE_IN_TOUCH = 0.5

        /** Time in which gateways and keepers have found each other after a start of all hosts. */
        const val SETTLE_MS = 3_000L
        const val INTERVAL_MS = 500L
    }
}
