package org.almondjunction.decisions

import org.almondjunction.common.ModelId

/** Stands for the only thing that a plain service offers; it is always loaded. */
public val PLAIN_SERVICE: ResidentKey = ResidentKey(ModelId("plain-service"), version = "")

/** Returns the first state of a plain service's target. */
public fun plainServiceState(startedMs: Long): TargetState =
    TargetState(
        memoryMb = 0,
        startedMs = startedMs,
        kind = TargetKind.PLAIN,
        confirmed = true,
        settled = true,
        residents = mapOf(PLAIN_SERVICE to Resident(PLAIN_SERVICE, memoryMb = 0, phase = ResidentPhase.Loaded, sinceMs = startedMs)),
    )
