package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import org.almondjunction.common.AdapterId
import org.almondjunction.common.ModelId
import org.almondjunction.common.RequestId

/** Identity of something that occupies accelerator memory: a version of a model, or an adapter of it. */
@Serializable
public data class ResidentKey(
    val model: ModelId,
    val version: String,
    val adapter: AdapterId? = null,
    val adapterVersion: String? = null,
) {
    /** The model version without adapter. */
    public val base: ResidentKey get() = if (adapter == null) this else ResidentKey(model, version)
}

/** Lifecycle phase of a resident. */
public sealed class ResidentPhase {
    /**
     * A load order was sent.
     *
     * @property acknowledgedMs when the engine confirmed the order; null before
     */
    public data class Loading(
        val acknowledgedMs: Long? = null,
    ) : ResidentPhase()

    /** The engine reported it as loaded. */
    public data object Loaded : ResidentPhase()

    /**
     * An unload order was sent.
     *
     * @property acknowledgedMs when the engine confirmed the order; null before
     */
    public data class Unloading(
        val acknowledgedMs: Long? = null,
    ) : ResidentPhase()

    /** The reply to an order was lost; a report requested at [untilMs] or later shows its result. */
    public data class Unsettled(
        val untilMs: Long,
    ) : ResidentPhase()
}

/**
 * A resident and its memory, which stays reserved until a report of the engine no longer contains it.
 *
 * @property sinceMs when [phase] began
 * @property lastUsedMs when the last request on it ended, or when it was loaded
 * @property surplusSinceMs when the accepted state stopped requiring it; null while it is required
 */
public data class Resident(
    val key: ResidentKey,
    val memoryMb: Long,
    val phase: ResidentPhase,
    val sinceMs: Long,
    val lastUsedMs: Long = sinceMs,
    val surplusSinceMs: Long? = null,
)

/** A request in the queue of a target. */
public data class WaitingRequest(
    val id: RequestId,
    val model: ModelId,
    val adapter: AdapterId? = null,
    val priority: Int = 5,
    val arrivedMs: Long,
    val deadlineMs: Long,
)

/** A request that runs on [resident]. */
public data class RunningRequest(
    val id: RequestId,
    val resident: ResidentKey,
    val startedMs: Long,
)

/** Storage from which a checkpoint is loaded. */
@Serializable
public enum class CheckpointTier {
    MEMORY,
    DISK,
    REMOTE,
}

/**
 * Complete state on which the agent of a target bases its decisions.
 *
 * @property confirmed whether the rights were read from the platform's object store after this process began; needed for every load
 * @property released rights that this process has released; never valid again for it
 * @property lastReleaseMs when rights were last released; the release is repeated until the state from an entry host confirms it
 * @property lastContactMs when a message from an entry host last arrived
 * @property settled whether a report was requested so long after the start that no order of an earlier process can still take effect
 * @property loadTimesMs moving average of observed load times from each tier
 */
public data class TargetState(
    val memoryMb: Long,
    val startedMs: Long,
    val kind: TargetKind = TargetKind.ENGINE,
    val revision: Long = NO_REVISION,
    val sequence: Long = 0,
    val offers: Map<ModelId, ModelOffer> = emptyMap(),
    val rights: List<Right> = emptyList(),
    val confirmed: Boolean = false,
    val released: Set<RightKey> = emptySet(),
    val lastReleaseMs: Long = startedMs,
    val lastContactMs: Long = startedMs,
    val settled: Boolean = false,
    val lastReportRequestedMs: Long = startedMs,
    val residents: Map<ResidentKey, Resident> = emptyMap(),
    val waiting: List<WaitingRequest> = emptyList(),
    val running: Map<RequestId, RunningRequest> = emptyMap(),
    val draining: Boolean = false,
    val meanServiceMs: Long = 0,
    val loadTimesMs: Map<CheckpointTier, Long> = emptyMap(),
    val tiers: Map<ModelId, CheckpointTier> = emptyMap(),
    val histories: Map<ModelId, ArrivalHistory> = emptyMap(),
    val pooledHistory: ArrivalHistory? = null,
) {
    /** Memory that is or may be occupied, in megabytes. */
    val reservedMb: Long get() = residents.values.sumOf { it.memoryMb }

    /** Returns the right to hold [model] that this process has not released; it may be recalled. */
    public fun heldRight(model: ModelId): Right? = rights.firstOrNull { it.model == model && it.key() !in released }

    /** Returns the offer of [model] if its right is valid under the accepted state. */
    public fun entitlement(model: ModelId): ModelOffer? {
        val offer = offers[model] ?: return null
        val right = heldRight(model) ?: return null
        return offer.takeIf { !right.recalled && right.rank < offer.replicas }
    }

    /** Whether any running request uses [key]. */
    public fun isBusy(key: ResidentKey): Boolean = running.values.any { it.resident == key || it.resident.base == key }

    /** Whether any waiting request will use [key]. */
    public fun isAwaited(key: ResidentKey): Boolean =
        waiting.any { it.model == key.model && (key.adapter == null || it.adapter == key.adapter) }
}
