package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import org.almondjunction.common.ModelId
import org.almondjunction.common.TargetId

/**
 * The right of one target to hold one replica of a model.
 *
 * @property rank position among the model's replicas, from 0; invalid while the accepted ticket allows [rank] replicas or fewer
 * @property epoch unique within its shard, never reused; a released right is never valid again under the same epoch
 * @property recalled whether the target must unload the model and release the right
 */
@Serializable
public data class Right(
    val model: ModelId,
    val rank: Int,
    val target: TargetId,
    val epoch: Long,
    val recalled: Boolean = false,
)

/** Identity of a right. */
@Serializable
public data class RightKey(
    val model: ModelId,
    val rank: Int,
    val epoch: Long,
)

/** Returns the identity of this right. */
public fun Right.key(): RightKey = RightKey(model, rank, epoch)

/**
 * The rights of all models whose names hash to one shard; one object of the platform's object store.
 *
 * @property nextEpoch epoch of the next right granted in this shard; only increases
 */
@Serializable
public data class RightsShard(
    val nextEpoch: Long = 1,
    val rights: List<Right> = emptyList(),
) {
    /** Returns this shard without the rights in [released]. */
    public fun release(released: Collection<RightKey>): RightsShard = copy(rights = rights.filterNot { it.key() in released })

    public companion object {
        /** Number of shards. */
        public const val COUNT: Int = 256

        /** Returns the shard of [model]. */
        public fun of(model: ModelId): Int = Math.floorMod(StableHash.of("shard", model.value), COUNT)
    }
}
