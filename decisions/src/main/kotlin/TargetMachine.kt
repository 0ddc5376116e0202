package org.almondjunction.decisions

import org.almondjunction.common.RefusalReason
import org.almondjunction.common.RequestId

/**
 * State machine of one target: its rights, memory ledger, residency and queue.
 *
 * It has no clock and no side effects: the same state, event and time always give the same transition.
 */
public class TargetMachine(
    private val limits: TargetLimits = TargetLimits(),
    private val policy: ResidencyPolicy = ResidencyPolicy.LearnedGaps(idleMsPerColdMs = 60.0),
) {
    private val reconciliation = Reconciliation(limits)
    private val admission = Admission(limits)
    private val loading = LoadPlanner(limits, admission)
    private val unloading = UnloadPlanner(limits, policy, admission)

    /** Returns the transition that [event] causes at [nowMs]. */
    public fun handle(
        state: TargetState,
        event: TargetEvent,
        nowMs: Long,
    ): Transition {
        val step = TargetStep(state, nowMs)
        fence(step, event)
        apply(step, event)
        refuseUnservable(step)
        if (step.state.kind == TargetKind.ENGINE) unloading.run(step)
        dispatch(step)
        if (step.state.kind == TargetKind.ENGINE) loading.run(step)
        return Transition(step.state, step.effects)
    }

    private fun fence(
        step: TargetStep,
        event: TargetEvent,
    ) {
        val state = step.state
        if (state.kind == TargetKind.PLAIN) return
        val contacted = event is TargetEvent.Contact || event is TargetEvent.StateReceived || event is TargetEvent.SequenceReached
        if (step.nowMs - state.lastContactMs >= limits.fencingMs) {
            step.state = state.copy(rights = emptyList(), confirmed = false, revision = NO_REVISION)
            state.running.keys.forEach { step.effects += TargetEffect.Interrupt(it) }
        }
        if (contacted) step.state = step.state.copy(lastContactMs = step.nowMs)
    }

    private fun apply(
        step: TargetStep,
        event: TargetEvent,
    ) {
        when (event) {
            is TargetEvent.StateReceived -> applyState(step, event)
            is TargetEvent.SequenceReached -> step.state = step.state.copy(sequence = maxOf(step.state.sequence, event.sequence))
            is TargetEvent.Arrived -> admission.admit(step, event.request)
            is TargetEvent.Withdrawn -> withdraw(step, event.id)
            is TargetEvent.Finished -> finish(step, event.id)
            is TargetEvent.OrderReplied -> reconciliation.reply(step, event)
            is TargetEvent.Reported -> reconciliation.report(step, event)
            TargetEvent.DrainRequested -> step.state = step.state.copy(draining = true)
            TargetEvent.DrainEnded -> endDrain(step)
            TargetEvent.Contact, TargetEvent.Tick -> Unit
        }
    }

    private fun applyState(
        step: TargetStep,
        event: TargetEvent.StateReceived,
    ) {
        val state = step.state
        if (event.revision < state.revision || (!event.confirmed && event.revision == state.revision)) return
        step.state =
            state.copy(
                revision = event.revision,
                sequence = event.sequence,
                offers = event.offers.associateBy { it.model },
                rights = event.rights,
                confirmed = state.confirmed || event.confirmed,
                released = state.released.intersect(event.rights.map { it.key() }.toSet()),
            )
    }

    private fun withdraw(
        step: TargetStep,
        id: RequestId,
    ) {
        if (step.state.waiting.any { it.id == id }) {
            step.refuse(id, RefusalReason.CANCELLED)
        } else if (id in step.state.running) {
            step.effects += TargetEffect.Interrupt(id)
        }
    }

    private fun endDrain(step: TargetStep) {
        step.state = step.state.copy(draining = true)
        step.state.waiting.forEach { step.refuse(it.id, RefusalReason.LEAVING) }
        step.state.running.keys
            .forEach { step.effects += TargetEffect.Interrupt(it) }
    }

    private fun finish(
        step: TargetStep,
        id: RequestId,
    ) {
        val state = step.state
        val request = state.running[id] ?: return
        val used = setOf(request.resident, request.resident.base)
        step.state =
            state.copy(
                running = state.running - id,
                residents =
                    state.residents.mapValues { (key, resident) ->
                        if (key in
                            used
                        ) {
                            resident.copy(lastUsedMs = step.nowMs)
                        } else {
                            resident
                        }
                    },
                meanServiceMs = average(state.meanServiceMs, step.nowMs - request.startedMs),
            )
    }

    private fun refuseUnservable(step: TargetStep) {
        val state = step.state
        state.waiting.forEach { request ->
            when {
                request.deadlineMs <= step.nowMs -> step.refuse(request.id, RefusalReason.DEADLINE_PASSED)
                !state.serves(request) -> step.refuse(request.id, RefusalReason.NO_RIGHT)
            }
        }
    }

    private fun dispatch(step: TargetStep) {
        admission.queueOrder(step).forEach { request ->
            if (step.state.running.size >= limits.maximumRunning) return
            val key = step.state.residentFor(request) ?: return@forEach
            val ready = setOf(key, key.base).all { step.state.residents[it].isReady() }
            if (ready) step.dispatch(request, key)
        }
    }

    private fun Resident?.isReady() = this != null && phase == ResidentPhase.Loaded && surplusSinceMs == null
}

/** The state while an event is handled, and the effects collected so far. */
internal class TargetStep(
    var state: TargetState,
    val nowMs: Long,
) {
    val effects = mutableListOf<TargetEffect>()

    fun refuse(
        id: RequestId,
        reason: RefusalReason,
        expectedWaitMs: Long = 0,
    ) {
        state = state.copy(waiting = state.waiting.filterNot { it.id == id })
        effects += TargetEffect.Refuse(id, reason, expectedWaitMs)
    }

    fun dispatch(
        request: WaitingRequest,
        key: ResidentKey,
    ) {
        state =
            state.copy(
                waiting = state.waiting.filterNot { it.id == request.id },
                running = state.running + (request.id to RunningRequest(request.id, key, nowMs)),
            )
        effects += TargetEffect.Dispatch(request.id, key)
    }

    fun put(resident: Resident) {
        state = state.copy(residents = state.residents + (resident.key to resident))
    }

    fun remove(key: ResidentKey) {
        state = state.copy(residents = state.residents - key)
    }

    fun unload(resident: Resident) {
        put(resident.copy(phase = ResidentPhase.Unloading(), sinceMs = nowMs))
        effects += TargetEffect.Send(Order.Unload(resident.key))
    }

    fun load(
        key: ResidentKey,
        memoryMb: Long,
    ) {
        put(Resident(key, memoryMb, ResidentPhase.Loading(), nowMs))
        effects += TargetEffect.Send(Order.Load(key, memoryMb))
    }
}

private const val SAMPLE_WEIGHT = 0.2

/** Returns the exponentially weighted moving average after [sample]. */
internal fun average(
    mean: Long,
    sample: Long,
): Long = if (mean == 0L) sample else (mean + SAMPLE_WEIGHT * (sample - mean)).toLong()

/** Whether this target may serve [request] under the state that it knows. */
internal fun TargetState.serves(request: WaitingRequest): Boolean = kind == TargetKind.PLAIN || residentFor(request) != null

/** Returns what must be loaded for [request]; null when the target may not serve it. */
internal fun TargetState.residentFor(request: WaitingRequest): ResidentKey? {
    if (kind == TargetKind.PLAIN) return PLAIN_SERVICE
    val offer = entitlement(request.model) ?: return null
    val adapter = request.adapter?.let { requested -> offer.adapters.firstOrNull { it.adapter == requested } ?: return null }
    return ResidentKey(offer.model, offer.version, adapter?.adapter, adapter?.version)
}
