package org.almondjunction.keeper

/** The engine beside this process, as its keeper uses it. */
public interface EngineControl {
    /** Returns what the engine holds now; null when it does not answer. */
    public suspend fun report(): EngineSnapshot?

    /** Gives one order. */
    public suspend fun order(order: EngineOrder): EngineOrderReply
}

/**
 * What an engine says of itself.
 *
 * @property busy whether it is loading or unloading a model
 * @property sequence number of orders that it has accepted since its start
 * @property closing whether it closed the connection with this report, as one that is leaving does
 * @property loadingAdapters adapters on their way, as model and adapter
 */
public data class EngineSnapshot(
    val models: Map<String, Set<String>>,
    val busy: Boolean,
    val sequence: Long,
    val queued: Int = 0,
    val active: Int = 0,
    val kvUsed: Long = 0,
    val loadingAdapters: Set<Pair<String, String>> = emptySet(),
    val inMemory: List<String> = emptyList(),
    val onDisk: List<String> = emptyList(),
    val closing: Boolean = false,
)

/**
 * An order to an engine.
 *
 * @property target identity of the engine for which it is meant
 * @property expectedSequence the order holds only while the engine has accepted this number of orders
 * @property fence an order with a lower number than one that the engine has seen is refused
 */
public data class EngineOrder(
    val target: String,
    val kind: Kind,
    val model: String,
    val adapter: String?,
    val expectedSequence: Long,
    val fence: Long,
) {
    /** What is to be done. */
    public enum class Kind { LOAD, UNLOAD }
}

/** What came back from an order. */
public enum class EngineOrderReply {
    /** It is being carried out or holds already. */
    ACCEPTED,

    /** Another order is in progress, or the sequence differs. */
    CONFLICT,

    /** A higher fencing number was seen. */
    FENCED,

    /** The order is not possible, or the engine is another one. */
    REFUSED,

    /** No answer; it may have been accepted, or may be carried out later unless the sequence moves on. */
    LOST,
}
