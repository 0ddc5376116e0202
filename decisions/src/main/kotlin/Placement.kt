package org.almondjunction.decisions

import org.almondjunction.common.HostId
import org.almondjunction.common.TargetId

/**
 * Input of a controller for the placement of rights.
 *
 * @property shards every shard of rights, by index
 * @property hostOfLostTarget last known host of targets that the platform no longer lists
 * @property provenEmptyHosts hosts that provably have nothing loaded any more
 */
public data class PlacementInput(
    val catalogue: Catalogue,
    val fleet: Fleet,
    val shards: Map<Int, RightsShard>,
    val hostOfLostTarget: Map<TargetId, HostId> = emptyMap(),
    val provenEmptyHosts: Set<HostId> = emptySet(),
)

/**
 * Decides which target holds the right to each replica.
 *
 * A right is taken from a target only when the target releases it or its host provably holds nothing, never because time passed.
 */
public object Placement {
    /** Returns the shards that must change, with their new content. */
    public fun plan(input: PlacementInput): Map<Int, RightsShard> {
        val kept = input.shards.mapValues { (_, shard) -> shard.copy(rights = shard.rights.mapNotNull { review(it, input) }) }
        val load = ReservedMemory(kept.values.flatMap { it.rights }, input.catalogue)
        val planned = kept.toMutableMap()
        input.catalogue.offers.values.sortedWith(LARGEST_FIRST).forEach { offer ->
            val index = RightsShard.of(offer.model)
            planned[index] = fill(offer, planned[index] ?: RightsShard(), input, load)
        }
        return planned.filter { (index, shard) -> shard != (input.shards[index] ?: RightsShard()) }
    }

    private fun review(
        right: Right,
        input: PlacementInput,
    ): Right? {
        val target = input.fleet.targets[right.target]
        val host = target?.host ?: input.hostOfLostTarget[right.target]
        if (host != null && (host in input.catalogue.retiredHosts || host in input.provenEmptyHosts)) return null
        val offer = input.catalogue.offers[right.model]
        val required = offer != null && (target == null || offer.permits(target))
        return if (required || right.recalled) right else right.copy(recalled = true)
    }

    private fun fill(
        offer: ModelOffer,
        shard: RightsShard,
        input: PlacementInput,
        load: ReservedMemory,
    ): RightsShard {
        val ranks =
            shard.rights
                .filter { it.model == offer.model }
                .map { it.rank }
                .toSet()
        return (0 until offer.replicas).filterNot { it in ranks }.fold(shard) { current, rank ->
            val target = choose(offer, current, input, load) ?: return current
            load.add(target.record.target, offer.memoryMb)
            val right = Right(offer.model, rank, target.record.target, current.nextEpoch)
            RightsShard(nextEpoch = current.nextEpoch + 1, rights = current.rights + right)
        }
    }

    private fun choose(
        offer: ModelOffer,
        shard: RightsShard,
        input: PlacementInput,
        load: ReservedMemory,
    ): PlacedTarget? {
        val holders =
            shard.rights
                .filter { it.model == offer.model }
                .map { it.target }
                .toSet()
        val zones =
            holders.mapNotNull {
                input.fleet.targets[it]
                    ?.location
                    ?.zone
            }
        return input.fleet.byService[offer.service]
            .orEmpty()
            .filter { it.record.target !in holders && offer.permits(it) && it.host !in input.catalogue.retiredHosts }
            .minWithOrNull(
                compareBy<PlacedTarget> { candidate -> zones.count { it == candidate.location.zone } }
                    .thenBy { load.share(it) }
                    .thenByDescending { StableHash.of(offer.model.value, it.record.target.value) },
            )
    }

    private fun ModelOffer.permits(target: PlacedTarget): Boolean =
        !target.leaving &&
            target.record.kind == TargetKind.ENGINE &&
            target.record.service == service &&
            memoryMb <= target.record.memoryMb &&
            (zones.isEmpty() || target.location.zone in zones)

    private val LARGEST_FIRST = compareByDescending<ModelOffer> { it.memoryMb }.thenBy { it.model }
}

/** Memory that the rights of each target require, loaded or not. */
private class ReservedMemory(
    rights: List<Right>,
    catalogue: Catalogue,
) {
    private val memoryMb = mutableMapOf<TargetId, Long>()

    init {
        rights.forEach { add(it.target, catalogue.offers[it.model]?.memoryMb ?: 0) }
    }

    fun add(
        target: TargetId,
        megabytes: Long,
    ) {
        memoryMb.merge(target, megabytes, Long::plus)
    }

    fun share(target: PlacedTarget): Double = (memoryMb[target.record.target] ?: 0) / target.record.memoryMb.toDouble()
}
