package org.almondjunction.decisions

/** Unloads residents that the accepted state no longer requires or that were idle too long, and releases rights. */
internal class UnloadPlanner(
    private val limits: TargetLimits,
    private val policy: ResidencyPolicy,
    private val admission: Admission,
) {
    fun run(step: TargetStep) {
        markSurplus(step)
        unloadSurplus(step)
        unloadIdle(step)
        retryUnloads(step)
        releaseRights(step)
    }

    private fun markSurplus(step: TargetStep) {
        val state = step.state
        if (state.revision == NO_REVISION && !isFenced(step)) return
        state.residents.values.forEach { resident ->
            val surplus = !isRequired(state, resident.key)
            if (surplus && resident.surplusSinceMs == null) step.put(resident.copy(surplusSinceMs = step.nowMs))
            if (!surplus && resident.surplusSinceMs != null) step.put(resident.copy(surplusSinceMs = null))
        }
    }

    private fun isFenced(step: TargetStep) = step.nowMs - step.state.lastContactMs >= limits.fencingMs

    private fun isRequired(
        state: TargetState,
        key: ResidentKey,
    ): Boolean {
        val offer = state.entitlement(key.model) ?: return false
        if (offer.version != key.version) return false
        return key.adapter == null || offer.adapters.any { it.adapter == key.adapter && it.version == key.adapterVersion }
    }

    private fun unloadSurplus(step: TargetStep) {
        step.state.residents.values.filter { it.surplusSinceMs != null && it.phase == ResidentPhase.Loaded }.forEach { resident ->
            val mayComplete = step.state.heldRight(resident.key.model)?.recalled == true && resident.key.model in step.state.offers
            val drainTimeOver = step.nowMs - checkNotNull(resident.surplusSinceMs) >= limits.ticketDrainMs
            when {
                !step.state.isBusy(resident.key) -> step.unloadOnce(resident)
                drainTimeOver && !mayComplete -> interrupt(step, resident.key)
            }
        }
    }

    private fun interrupt(
        step: TargetStep,
        key: ResidentKey,
    ) {
        step.state.running.values
            .filter { it.resident == key || it.resident.base == key }
            .map { TargetEffect.Interrupt(it.id) }
            .filterNot { it in step.effects }
            .forEach { step.effects += it }
    }

    private fun unloadIdle(step: TargetStep) {
        step.state.residents.values.filter { it.phase == ResidentPhase.Loaded && it.surplusSinceMs == null }.forEach { resident ->
            val keepMs =
                policy.keepMs(
                    step.state.histories[resident.key.model],
                    admission.loadMs(step.state, resident.key),
                    step.state.pooledHistory,
                )
            val idle = !step.state.isBusy(resident.key) && !step.state.isAwaited(resident.key)
            if (idle && step.nowMs - resident.lastUsedMs >= keepMs) step.unloadOnce(resident)
        }
    }

    private fun retryUnloads(step: TargetStep) {
        step.state.residents.values.forEach { resident ->
            val acknowledgedMs = (resident.phase as? ResidentPhase.Unloading)?.acknowledgedMs ?: return@forEach
            if (step.nowMs - acknowledgedMs >= limits.orderSettleMs) step.unload(resident)
        }
    }

    private fun releaseRights(step: TargetStep) {
        val state = step.state
        if (!state.settled) return
        val releasable =
            state.rights.filter { right ->
                val valid = right.key() !in state.released && !right.recalled && right.rank < (state.offers[right.model]?.replicas ?: 0)
                !valid && state.residents.keys.none { it.model == right.model }
            }
        if (releasable.isEmpty()) return
        val keys = releasable.map { it.key() }
        if (state.released.containsAll(keys) && step.nowMs - state.lastReleaseMs < RELEASE_RETRY_MS) return
        step.state = state.copy(released = state.released + keys, lastReleaseMs = step.nowMs)
        step.effects += TargetEffect.ReleaseRights(keys)
    }

    private companion object {
        const val RELEASE_RETRY_MS = 1_000L
    }
}

/** Unloads [resident], with its adapters first, unless an earlier step of the same event already did. */
internal fun TargetStep.unloadOnce(resident: Resident) {
    val current = state.residents[resident.key] ?: return
    if (current.phase == ResidentPhase.Loaded) {
        if (resident.key.adapter == null) {
            unloadWithAdapters(current)
        } else {
            unload(current)
        }
    }
}
