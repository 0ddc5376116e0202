package org.almondjunction.decisions

import org.almondjunction.common.ModelId

/** Placeholder for the only resident of a plain service; always loaded. */
public val PLAIN_SERVICE: ResidentKey = ResidentKey(ModelId("plain-service"), version = "")

/** Returns the initial state of the target of a plain service. */
public fun plainServiceState(startedMs: Long): TargetState =
    TargetState(
        memoryMb = 0,
        startedMs = startedMs,
        kind = TargetKind.PLAIN,
        confirmed = true,
        settled = true,
        residents = mapOf(PLAIN_SERVICE to Resident(PLAIN_SERVICE, memoryMb = 0, phase = ResidentPhase.Loaded, sinceMs = startedMs)),
    )
