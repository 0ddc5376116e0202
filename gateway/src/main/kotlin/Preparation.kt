package org.almondjunction.gateway

import kotlinx.coroutines.delay
import org.almondjunction.common.Clock
import org.almondjunction.decisions.Rendezvous

/**
 * Has models loaded that no target holds, where there is room, before callers ask for them.
 *
 * Gateways share the work: each model is looked after by the one that comes first for it among those that keepers see.
 */
internal class Preparation(
    private val clock: Clock,
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
            if (ready.isEmpty() || ready.any { it.status == null }) return@forEach
            val held = ready.flatMapTo(mutableSetOf()) { it.models.keys }
            plan.models.values
                .filter { it.model.value !in held }
                .filter { Rendezvous.order(it.model.value, gateways) { name -> name }.first() == gateway }
                .forEach { selector.askForModel(ready, plan, it, mayEvict = false) }
        }
    }

    private companion object {
        /** Time in which gateways and keepers have found each other after a start of all hosts. */
        const val SETTLE_MS = 3_000L
        const val INTERVAL_MS = 500L
    }
}
