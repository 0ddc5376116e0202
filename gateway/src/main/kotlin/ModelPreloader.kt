package org.almondjunction.gateway

import kotlinx.coroutines.delay
import org.almondjunction.common.ServiceId
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.ReplicaPlan
import org.almondjunction.decisions.StoreLoadLimit

/**
 * Preloads models that no target holds or that need more replicas, before callers request them.
 *
 * A model that no target holds is loaded where memory is free; if no host has a copy of its weights, the load may evict another model,
 * so that a copy is on the disk of a host when the model is requested. Each model is assigned to one gateway by rendezvous hashing over
 * the gateways connected to keepers. Models without any copy are all assigned to the same gateway: gateways that act at the same moment do
 * not see each other's requests, and together would begin more loads from the weight store than it serves at full speed.
 */
internal class ModelPreloader(
    private val registry: TargetRegistry,
    private val selector: TargetSelector,
    private val state: GatewayState,
    private val gateway: String,
) {
    /** Limits by service and initial maximum. */
    private val storeLoadLimits = mutableMapOf<Pair<ServiceId, Int>, StoreLoadLimit>()

    suspend fun run() {
        delay(STARTUP_DELAY_MS)
        while (true) {
            preload()
            delay(INTERVAL_MS)
        }
    }

    /** Requests the loads that are needed now. */
    suspend fun preload() {
        val configuration = state.configuration ?: return
        val gateways = registry.gateways
        configuration.services.values.forEach { service ->
            val engine = service.engine ?: return@forEach
            val ready = registry.ready(service.service)
            val connected = ready.count { it.status != null }
            if (connected < ready.size * MINIMUM_CONNECTED_SHARE) return@forEach
            val (ordered, others) = engine.models.values.partition { model -> ready.none { it.holdsOrHasCopy(model.model.value) } }
            others.filter { isAssigned(it.model.value, gateways) }.forEach { preload(it, engine, ready) }
            if (ordered.isNotEmpty() && isAssigned("$STORE_LOADS${service.service.value}", gateways)) {
                val limit = storeLoadLimit(configuration, service.service, ordered)
                selector.observeStoreLoads(ready, engine, limit)
                ordered.sortedByDescending { selector.demandFor(it) }.forEach { preload(it, engine, ready, limit) }
            }
        }
    }

    /** Returns the limit for the loads of [models]; higher if callers wait for such loads, since each gateway then requests some itself. */
    private fun storeLoadLimit(
        configuration: GatewayConfiguration,
        service: ServiceId,
        models: List<ModelConfiguration>,
    ): StoreLoadLimit {
        val tooLate = models.any { configuration.loadsTooLateForCallers(service, it) }
        val maximum = if (tooLate) StoreLoadLimit.FEWEST else StoreLoadLimit.MOST
        return storeLoadLimits.getOrPut(service to maximum) { StoreLoadLimit(maximum) }
    }

    private fun isAssigned(
        work: String,
        gateways: Set<String>,
    ): Boolean = Rendezvous.order(work, gateways) { it }.first() == gateway

    private fun Target.holdsOrHasCopy(model: String): Boolean = holds(model) || hasLocalCopy(model)

    private fun Target.holds(model: String): Boolean = status?.models?.any { it.model == model } ?: (model in models)

    private suspend fun preload(
        model: ModelConfiguration,
        engine: EngineConfiguration,
        ready: List<Target>,
        limit: StoreLoadLimit? = null,
    ) {
        val name = model.model.value
        val (holders, others) = ready.partition { it.holds(name) }
        if (holders.isEmpty()) {
            val withLocalCopy = ready.filter { it.hasLocalCopy(name) }
            selector.requestModel(withLocalCopy.ifEmpty { ready }, engine, model, mayEvict = withLocalCopy.isEmpty(), limit = limit)
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

        /** Prefix of the work that is assigned once for each service. */
        const val STORE_LOADS = "store-loads/"
    }
}
