package org.almondjunction.decisions

import org.almondjunction.common.Distance
import org.almondjunction.common.Location
import org.almondjunction.common.TargetId

/**
 * A target that may serve a request, with what the entry host knows of it.
 *
 * @property rank rank of the target's right
 * @property warm whether the model was loaded in the last report of the target; null before its first report
 * @property outstanding requests of this entry host in progress there
 * @property suspect whether the last attempt to reach the target failed
 */
public data class Candidate(
    val target: TargetId,
    val location: Location,
    val rank: Int,
    val warm: Boolean? = null,
    val outstanding: Int = 0,
    val suspect: Boolean = false,
)

/** Orders the targets that may serve a request. */
public object Router {
    /** Outstanding requests of a target, relative to the mean of all targets, above which affinity to it is ignored. */
    private const val LOAD_BOUND = 1.25

    /**
     * Returns [candidates] in the order in which they should be tried.
     *
     * Warm replicas come first, nearest first, by affinity of [prefix] with bounded load. Cold ones follow by region and rank, so that
     * the first requests from all entry hosts of a region go to the same target. Targets in another region come last, and only if
     * [crossRegionAllowed].
     */
    public fun order(
        candidates: List<Candidate>,
        origin: Location,
        prefix: String,
        crossRegionAllowed: Boolean,
    ): List<Candidate> {
        val reachable = candidates.filter { crossRegionAllowed || origin.distanceTo(it.location) != Distance.OTHER_REGION }
        val (warm, cold) = reachable.partition { it.warm == true }
        val warmOrder =
            Distance.entries.associateWith { distance ->
                byAffinity(warm.filter { origin.distanceTo(it.location) == distance }, prefix)
            }
        val coldOrder = cold.sortedBy { it.rank }.groupBy { origin.region == it.location.region }
        val near = warmOrder[Distance.SAME_ZONE].orEmpty() + warmOrder[Distance.SAME_REGION].orEmpty() + coldOrder[true].orEmpty()
        val far = warmOrder[Distance.OTHER_REGION].orEmpty() + coldOrder[false].orEmpty()
        return (near + far).sortedBy { it.suspect }
    }

    private fun byAffinity(
        candidates: List<Candidate>,
        prefix: String,
    ): List<Candidate> {
        if (candidates.size < 2) return candidates
        val bound = LOAD_BOUND * (candidates.sumOf { it.outstanding } + 1) / candidates.size
        return Rendezvous.order(prefix, candidates) { it.target.value }.sortedBy { it.outstanding + 1 > bound + 1 }
    }
}
