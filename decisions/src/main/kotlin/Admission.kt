package org.almondjunction.decisions

import org.almondjunction.common.RefusalReason

/** Decides which requests are queued, and in which order they are served. */
internal class Admission(
    private val limits: TargetLimits,
) {
    fun admit(
        step: TargetStep,
        request: WaitingRequest,
    ) {
        recordArrival(step, request)
        val expectedMs = expectedWaitMs(step.state, request)
        val reason = refusal(step, request, expectedMs)
        if (reason != null) {
            step.effects += TargetEffect.Refuse(request.id, reason, expectedMs)
            return
        }
        step.state = step.state.copy(waiting = step.state.waiting + request)
        if (step.state.waiting.size > limits.maximumWaiting) step.refuse(queueOrder(step).last().id, RefusalReason.QUEUE_FULL, expectedMs)
    }

    private fun refusal(
        step: TargetStep,
        request: WaitingRequest,
        expectedMs: Long,
    ): RefusalReason? {
        val state = step.state
        val key = state.residentFor(request)
        return when {
            state.draining -> RefusalReason.LEAVING
            key == null -> if (state.revision == NO_REVISION) RefusalReason.NOT_READY else RefusalReason.NO_RIGHT
            !state.confirmed && key.base !in state.residents -> RefusalReason.NOT_READY
            memoryMb(state, key) > state.memoryMb -> RefusalReason.NO_MEMORY
            step.nowMs + expectedMs >= request.deadlineMs -> RefusalReason.DEADLINE_TOO_SHORT
            else -> null
        }
    }

    private fun memoryMb(
        state: TargetState,
        key: ResidentKey,
    ): Long {
        val offer = state.offers[key.model] ?: return 0
        return offer.memoryMb + (offer.adapters.firstOrNull { it.adapter == key.adapter }?.memoryMb ?: 0)
    }

    private fun recordArrival(
        step: TargetStep,
        request: WaitingRequest,
    ) {
        val before = step.state.histories[request.model]
        val history = before?.afterArrival(step.nowMs) ?: ArrivalHistory(step.nowMs)
        step.state =
            step.state.copy(
                histories = step.state.histories + (request.model to history),
                pooledHistory = before?.pooledAfter(step.state.pooledHistory, step.nowMs) ?: step.state.pooledHistory,
            )
    }

    /** Returns the expected time until [request] starts, from the queue, the running requests and the load that it needs. */
    fun expectedWaitMs(
        state: TargetState,
        request: WaitingRequest,
    ): Long {
        val ahead = state.waiting.count { it.priority >= request.priority } + state.running.size
        val queueMs = ahead / limits.maximumRunning * state.meanServiceMs
        val key = state.residentFor(request) ?: return queueMs
        val cold = state.residents[key.base]?.phase != ResidentPhase.Loaded
        return queueMs + if (cold) loadMs(state, key.base) else 0
    }

    /** Returns the expected load time, from loads observed on this target. */
    fun loadMs(
        state: TargetState,
        key: ResidentKey,
    ): Long = state.loadTimesMs[state.tiers[key.model] ?: CheckpointTier.REMOTE] ?: limits.defaultLoadMs

    /** Returns the waiting requests in the order of service: by priority, which rises with waiting time, then by deadline. */
    fun queueOrder(step: TargetStep): List<WaitingRequest> =
        if (step.state.waiting.size < 2) {
            step.state.waiting
        } else {
            step.state.waiting.sortedWith(
                compareByDescending<WaitingRequest> { effectivePriority(it, step.nowMs) }.thenBy { it.deadlineMs },
            )
        }

    private fun effectivePriority(
        request: WaitingRequest,
        nowMs: Long,
    ): Long = request.priority + (nowMs - request.arrivedMs) / limits.agingMs
}
