package org.almondjunction.decisions

/** Reconciles the memory ledger with the replies and reports of the engine; memory is freed only on confirmation by the engine. */
internal class Reconciliation(
    private val limits: TargetLimits,
) {
    fun reply(
        step: TargetStep,
        event: TargetEvent.OrderReplied,
    ) {
        val resident = step.state.residents[event.order.key] ?: return
        val expected =
            when (event.order) {
                is Order.Load -> resident.phase is ResidentPhase.Loading
                is Order.Unload -> resident.phase is ResidentPhase.Unloading
            }
        if (!expected) return
        when (event.reply) {
            OrderReply.ACCEPTED -> acknowledge(step, resident, event.order)
            OrderReply.REFUSED -> revert(step, resident, event.order)
            OrderReply.LOST -> step.put(resident.copy(phase = ResidentPhase.Unsettled(step.nowMs + limits.orderSettleMs)))
        }
    }

    private fun acknowledge(
        step: TargetStep,
        resident: Resident,
        order: Order,
    ) {
        val phase =
            when (order) {
                is Order.Load -> ResidentPhase.Loading(acknowledgedMs = step.nowMs)
                is Order.Unload -> ResidentPhase.Unloading(acknowledgedMs = step.nowMs)
            }
        step.put(resident.copy(phase = phase))
    }

    private fun revert(
        step: TargetStep,
        resident: Resident,
        order: Order,
    ) {
        when (order) {
            is Order.Load -> step.remove(resident.key)
            is Order.Unload -> step.put(resident.copy(phase = ResidentPhase.Loaded))
        }
    }

    fun report(
        step: TargetStep,
        event: TargetEvent.Reported,
    ) {
        if (event.requestedMs < step.state.lastReportRequestedMs) return
        val reported = event.report.residents.associateBy { it.key }
        step.state.residents.values
            .forEach { reconcile(step, it, reported[it.key], event.requestedMs) }
        reported.values.filter { it.key !in step.state.residents }.forEach { addUnknown(step, it, event.requestedMs) }
        step.state =
            step.state.copy(
                settled = step.state.settled || event.requestedMs - step.state.startedMs >= limits.orderSettleMs,
                lastReportRequestedMs = event.requestedMs,
                tiers = event.report.tiers,
            )
    }

    private fun reconcile(
        step: TargetStep,
        resident: Resident,
        reported: ReportedResident?,
        requestedMs: Long,
    ) {
        when (val phase = resident.phase) {
            is ResidentPhase.Loading ->
                when {
                    reported != null && !reported.loading -> markLoaded(step, resident, reported)
                    reported == null && phase.acknowledgedMs.isBefore(requestedMs) -> step.remove(resident.key)
                }
            ResidentPhase.Loaded -> if (reported == null && resident.sinceMs < requestedMs) step.remove(resident.key)
            is ResidentPhase.Unloading -> if (reported == null && phase.acknowledgedMs.isBefore(requestedMs)) step.remove(resident.key)
            is ResidentPhase.Unsettled -> if (phase.untilMs <= requestedMs) resolve(step, resident, reported, requestedMs)
        }
    }

    private fun Long?.isBefore(requestedMs: Long) = this != null && this < requestedMs

    private fun resolve(
        step: TargetStep,
        resident: Resident,
        reported: ReportedResident?,
        requestedMs: Long,
    ) {
        when {
            reported == null -> step.remove(resident.key)
            reported.loading -> step.put(resident.copy(phase = ResidentPhase.Loading(acknowledgedMs = requestedMs)))
            else -> markLoaded(step, resident, reported)
        }
    }

    private fun markLoaded(
        step: TargetStep,
        resident: Resident,
        reported: ReportedResident,
    ) {
        val state = step.state
        if (resident.phase is ResidentPhase.Loading && resident.key.adapter == null) {
            val tier = state.tiers[resident.key.model] ?: CheckpointTier.REMOTE
            val mean = average(state.loadTimesMs[tier] ?: 0, step.nowMs - resident.sinceMs)
            step.state = state.copy(loadTimesMs = state.loadTimesMs + (tier to mean))
        }
        step.put(
            resident.copy(
                memoryMb = maxOf(resident.memoryMb, reported.memoryMb),
                phase = ResidentPhase.Loaded,
                sinceMs = step.nowMs,
                lastUsedMs = step.nowMs,
            ),
        )
    }

    private fun addUnknown(
        step: TargetStep,
        reported: ReportedResident,
        requestedMs: Long,
    ) {
        val phase = if (reported.loading) ResidentPhase.Loading(acknowledgedMs = requestedMs) else ResidentPhase.Loaded
        step.put(Resident(reported.key, reported.memoryMb, phase, step.nowMs))
    }
}
