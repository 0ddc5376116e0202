package org.almondjunction.decisions

import org.almondjunction.common.ModelId
import org.almondjunction.common.RequestId

/** An event at a target. */
public sealed class TargetEvent {
    /**
     * An entry host sent the part of the accepted state that concerns this target.
     *
     * @property revision revision of the platform's object store; older revisions are ignored
     * @property confirmed whether the state was read from the platform's object store after this process requested it
     */
    public data class StateReceived(
        val revision: Long,
        val sequence: Long,
        val offers: List<ModelOffer>,
        val rights: List<Right>,
        val confirmed: Boolean,
    ) : TargetEvent()

    /** The accepted state reached [sequence] without a change for this target. */
    public data class SequenceReached(
        val sequence: Long,
    ) : TargetEvent()

    /** A message from an entry host arrived. */
    public data object Contact : TargetEvent()

    /** A request arrived. */
    public data class Arrived(
        val request: WaitingRequest,
    ) : TargetEvent()

    /** A waiting or running request was withdrawn. */
    public data class Withdrawn(
        val id: RequestId,
    ) : TargetEvent()

    /** A running request ended, successfully or not. */
    public data class Finished(
        val id: RequestId,
    ) : TargetEvent()

    /** The engine replied to an order, or its reply was lost. */
    public data class OrderReplied(
        val order: Order,
        val reply: OrderReply,
    ) : TargetEvent()

    /** The engine reported its residents. [requestedMs] is when the report was requested. */
    public data class Reported(
        val report: EngineReport,
        val requestedMs: Long,
    ) : TargetEvent()

    /** Time passed. */
    public data object Tick : TargetEvent()

    /** The process was asked to stop, or its host is leaving. */
    public data object DrainRequested : TargetEvent()

    /** The drain time is over: waiting requests are refused and running requests are interrupted. */
    public data object DrainEnded : TargetEvent()
}

/** An order to the engine. */
public sealed class Order {
    /** What is loaded or unloaded. */
    public abstract val key: ResidentKey

    /** Load [key]. */
    public data class Load(
        override val key: ResidentKey,
        val memoryMb: Long,
    ) : Order()

    /** Unload [key]. */
    public data class Unload(
        override val key: ResidentKey,
    ) : Order()
}

/** Reply of the engine to an order. */
public enum class OrderReply {
    /** The engine accepted the order. */
    ACCEPTED,

    /** The engine refused the order, so it has no effect. */
    REFUSED,

    /** No reply arrived; the order may still take effect. */
    LOST,
}

/** A resident as the engine reports it. */
public data class ReportedResident(
    val key: ResidentKey,
    val memoryMb: Long,
    val loading: Boolean,
)

/** The residents of an engine at one moment. */
public data class EngineReport(
    val residents: List<ReportedResident>,
    val tiers: Map<ModelId, CheckpointTier> = emptyMap(),
)
