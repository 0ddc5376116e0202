package org.almondjunction.keeper

/** Access to the engine that runs on the same host. */
public interface EngineControl {
    /** Returns what the engine holds now; null when it does not answer. */
    public suspend fun report(): EngineSnapshot?

    /** Sends one order. */
    public suspend fun order(order: EngineOrder): EngineOrderReply
}

/**
 * State that an engine reports.
 *
 * @property busy whether it is loading or unloading a model
 * @property sequence number of orders that it has accepted since its start
 * @property closing whether it closed the connection with this report, as it does while it shuts down
 * @property startedMs calendar time of its start, in milliseconds; null if it does not tell
 * @property loadingAdapters adapters that are being loaded, as pairs of model and adapter
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
    val startedMs: Long? = null,
)

/**
 * An order to an engine.
 *
 * @property target identity of the engine that is to carry it out
 * @property expectedSequence the order is valid only while the engine has accepted this number of orders
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
    public enum class Kind { LOAD, UNLOAD }
}

/** Result of an order. */
public enum class EngineOrderReply {
    /** The order is being carried out, or the engine is already in the requested state. */
    ACCEPTED,

    /** Another order is in progress, or the sequence differs. */
    CONFLICT,

    /** The engine has seen a higher fencing number. */
    FENCED,

    /** The order is not possible, or is meant for another engine. */
    REFUSED,

    /** No reply; the order may have been accepted, or may be carried out later unless the sequence advances. */
    LOST,
}
