package org.almondjunction.gateway

import kotlinx.coroutines.delay
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.ReplicaPlan

/**
 * Preloads models that no target holds or that need more replicas, before callers request them.
 *
 * A model that no target holds is loaded where memory is free; if no host has a copy of its weights, the load may evict another model,
 * so that a copy is on the disk of a host when the model is requested. Each model is assigned to one gateway by rendezvous hashing over
 * the gateways connected to keepers.
 */
internal class ModelPreloader(
    private val registry: TargetRegistry,
    private val selector: TargetSelector,
    private val state: GatewayState,
    private val gateway: String,
) {
    suspend fun run() {
        delay(STARTUP_DELAY_MS)
        while (true) {
            preload()
            delay(INTERVAL_MS)
        }
    }

    private suspend fun preload() {
        val services = state.configuration?.services?.values ?: return
        val gateways = registry.gateways
        services.forEach { service ->
            val engine = service.engine ?: return@forEach
            val ready = registry.ready(service.service)
            val connected = ready.count { it.status != null }
            if (connected < ready.size * MINIMUM_CONNECTED_SHARE) return@forEach
            engine.models.values
                .filter { Rendezvous.order(it.model.value, gateways) { name -> name }.first() == gateway }
                .forEach { preload(it, engine, ready) }
        }
    }

    private suspend fun preload(
        model: ModelConfiguration,
        engine: EngineConfiguration,
        ready: List<Target>,
    ) {
        val name = model.model.value
        val (holders, others) = ready.partition { target -> target.status?.models?.any { it.model == name } ?: (name in target.models) }
        if (holders.isEmpty()) {
            val withLocalCopy = ready.filter { it.hasLocalCopy(name) }
            selector.requestModel(withLocalCopy.ifEmpty { ready }, engine, model, mayEvict = withLocalCopy.isEmpty())
            return
        }
        val load = selector.loadOf(name, holders, engine)
        val tooFew = holders.size < ReplicaPlan.needed(load)
        if (!tooFew && holders.size >= ReplicaPlan.desired(load)) return
        val withLocalCopy = others.filter { it.hasLocalCopy(name) }.ifEmpty { others.takeIf { holders.size == 1 }.orEmpty() }
        if (withLocalCopy.isEmpty() || others.any { it.status?.loading == name }) return
        selector.requestModel(withLocalCopy, engine, model, mayEvict = tooFew)
    }

    private companion object {
        /** Minimum share of targets with a connected keeper; with fewer, this gateway itself is probably disconnected from the network. */
        const val MINIMUM_CONNECTED_SHARE = 0.5

        /** Time within which gateways and keepers are connected after a start of all hosts. */
        const val STARTUP_DELAY_MS = 3_000L
        const val INTERVAL_MS = 500L
    }
}
