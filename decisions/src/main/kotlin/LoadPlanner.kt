package org.almondjunction.decisions

/** Starts loads for waiting requests and evicts idle models for them. */
internal class LoadPlanner(
    private val limits: TargetLimits,
    private val admission: Admission,
) {
    fun run(step: TargetStep) {
        if (!step.state.settled || !step.state.confirmed || step.state.waiting.isEmpty()) return
        for (request in admission.queueOrder(step)) {
            val key = step.state.residentFor(request) ?: continue
            val missing = listOf(key.base, key).firstOrNull { it !in step.state.residents } ?: continue
            if (missing.adapter != null && step.state.residents[key.base]?.phase != ResidentPhase.Loaded) continue
            if (loadOrEvict(step, request, missing)) continue
            if (step.nowMs - request.arrivedMs >= limits.bypassMs) return
        }
    }

    /** Returns whether later requests may still start loads. */
    private fun loadOrEvict(
        step: TargetStep,
        request: WaitingRequest,
        missing: ResidentKey,
    ): Boolean {
        if (otherVersionLoaded(step.state, missing)) return true
        val needMb = memoryMb(step.state, missing)
        if (step.state.reservedMb + needMb <= step.state.memoryMb) {
            step.load(missing, needMb)
            return true
        }
        evictFor(step, request, missing, needMb)
        return false
    }

    /** A right covers one replica, so the old version must be unloaded before the new one is loaded. */
    private fun otherVersionLoaded(
        state: TargetState,
        missing: ResidentKey,
    ): Boolean = missing.adapter == null && state.residents.keys.any { it.model == missing.model && it.version != missing.version }

    private fun memoryMb(
        state: TargetState,
        key: ResidentKey,
    ): Long {
        val offer = state.offers.getValue(key.model)
        return if (key.adapter == null) offer.memoryMb else offer.adapters.first { it.adapter == key.adapter }.memoryMb
    }

    private fun evictFor(
        step: TargetStep,
        request: WaitingRequest,
        missing: ResidentKey,
        needMb: Long,
    ) {
        val state = step.state
        val unloadingMb =
            state.residents.values
                .filter { it.phase is ResidentPhase.Unloading }
                .sumOf { it.memoryMb }
        var shortfallMb = state.reservedMb - unloadingMb + needMb - state.memoryMb
        if (shortfallMb <= 0) return
        val victims =
            state.residents.values
                .filter { isEvictable(step, it, request) && it.key.base != missing.base }
                .sortedWith(evictionOrder(state))
                .takeWhile { resident -> (shortfallMb > 0).also { if (it) shortfallMb -= evictedMb(state, resident) } }
        if (shortfallMb > 0) return
        victims.forEach { victim -> step.unloadWithAdapters(victim) }
    }

    private fun evictedMb(
        state: TargetState,
        resident: Resident,
    ): Long =
        state.residents.values
            .filter { it.key.base == resident.key }
            .sumOf { it.memoryMb }

    private fun isEvictable(
        step: TargetStep,
        resident: Resident,
        request: WaitingRequest,
    ): Boolean {
        val state = step.state
        val awaitedByPrecedingRequest =
            state.waiting.any { it.model == resident.key.model && it.priority >= request.priority && it.arrivedMs <= request.arrivedMs }
        return resident.key.adapter == null &&
            resident.phase == ResidentPhase.Loaded &&
            state.residents.values.none { it.key.base == resident.key && it.phase != ResidentPhase.Loaded } &&
            !state.isBusy(resident.key) &&
            !awaitedByPrecedingRequest &&
            step.nowMs - resident.sinceMs >= limits.minimumResidencyMs
    }

    private fun evictionOrder(state: TargetState) =
        compareBy<Resident> { state.offers[it.key.model]?.priority ?: -1 }.thenBy { it.lastUsedMs }
}

/** Unloads [resident] and its adapters, adapters first. */
internal fun TargetStep.unloadWithAdapters(resident: Resident) {
    state.residents.values
        .filter { it.key.base == resident.key.base && it.phase == ResidentPhase.Loaded }
        .sortedBy { it.key.adapter == null }
        .forEach { unload(it) }
}
