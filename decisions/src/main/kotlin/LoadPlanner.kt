package org.almondjunction.decisions

/** Starts loads for waiting requests and makes room for them. */
internal class LoadPlanner(
    private val limits: TargetLimits,
    private val admission: Admission,
) {
    fun run(step: TargetStep) {
        if (!step.state.settled || !step.state.confirmed || step.state.waiting.isEmpty()) return
        for (request in admission.inOrder(step)) {
            val key = step.state.residentFor(request) ?: continue
            val missing = listOf(key.base, key).firstOrNull { it !in step.state.residents } ?: continue
            if (missing.adapter != null && step.state.residents[key.base]?.phase != ResidentPhase.Loaded) continue
            if (loadOrMakeRoom(step, request, missing)) continue
            if (step.nowMs - request.arrivedMs >= limits.bypassMs) return
        }
    }

    /** Returns whether later requests may still start loads. */
    private fun loadOrMakeRoom(
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
        makeRoom(step, request, missing, needMb)
        return false
    }

    /** A right covers one replica, so the old version must be gone before the new one is loaded. */
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

    private fun makeRoom(
        step: TargetStep,
        request: WaitingRequest,
        missing: ResidentKey,
        needMb: Long,
    ) {
        val state = step.state
        val comingMb =
            state.residents.values
                .filter { it.phase is ResidentPhase.Unloading }
                .sumOf { it.memoryMb }
        var lackingMb = state.reservedMb - comingMb + needMb - state.memoryMb
        if (lackingMb <= 0) return
        val victims =
            state.residents.values
                .filter { isVictim(step, it, request) && it.key.base != missing.base }
                .sortedWith(firstToEvict(state))
                .takeWhile { resident -> (lackingMb > 0).also { if (it) lackingMb -= evictedMb(state, resident) } }
        if (lackingMb > 0) return
        victims.forEach { victim -> step.unloadWithAdapters(victim) }
    }

    private fun evictedMb(
        state: TargetState,
        resident: Resident,
    ): Long =
        state.residents.values
            .filter { it.key.base == resident.key }
            .sumOf { it.memoryMb }

    private fun isVictim(
        step: TargetStep,
        resident: Resident,
        request: WaitingRequest,
    ): Boolean {
        val state = step.state
        val awaitedByEqual =
            state.waiting.any { it.model == resident.key.model && it.priority >= request.priority && it.arrivedMs <= request.arrivedMs }
        return resident.key.adapter == null &&
            resident.phase == ResidentPhase.Loaded &&
            state.residents.values.none { it.key.base == resident.key && it.phase != ResidentPhase.Loaded } &&
            !state.isBusy(resident.key) &&
            !awaitedByEqual &&
            step.nowMs - resident.sinceMs >= limits.minimumResidencyMs
    }

    private fun firstToEvict(state: TargetState) =
        compareBy<Resident> { state.offers[it.key.model]?.priority ?: -1 }.thenBy { it.lastUsedMs }
}

/** Unloads [resident] and its adapters, adapters first. */
internal fun TargetStep.unloadWithAdapters(resident: Resident) {
    state.residents.values
        .filter { it.key.base == resident.key.base && it.phase == ResidentPhase.Loaded }
        .sortedBy { it.key.adapter == null }
        .forEach { unload(it) }
}
