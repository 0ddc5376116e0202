package org.almondjunction.decisions

import org.almondjunction.common.RefusalReason
import org.almondjunction.common.RequestId

/** An action for the agent to perform. */
public sealed class TargetEffect {
    /** Send [order] to the engine. */
    public data class Send(
        val order: Order,
    ) : TargetEffect()

    /** Run a request now. */
    public data class Dispatch(
        val id: RequestId,
        val resident: ResidentKey,
    ) : TargetEffect()

    /** Refuse a request that has not run. */
    public data class Refuse(
        val id: RequestId,
        val reason: RefusalReason,
        val expectedWaitMs: Long = 0,
    ) : TargetEffect()

    /** End a running request early with an explicit error. */
    public data class Interrupt(
        val id: RequestId,
    ) : TargetEffect()

    /** Notify an entry host that [rights] are released: nothing is loaded under them, and nothing will be. */
    public data class ReleaseRights(
        val rights: List<RightKey>,
    ) : TargetEffect()
}

/** The state after an event, and the effects to perform. */
public data class Transition(
    val state: TargetState,
    val effects: List<TargetEffect>,
)
