package org.almondjunction.decisions

/**
 * State of a request whose first send has taken longer than most answers of its route.
 *
 * @property runsLeft further targets that may run it within the limit of its route, the running send already deducted
 * @property suspect whether a part of its prompt is suspected of crashing targets
 * @property elapsedMs time since the running send began
 * @property expectedMs expected time to an answer at the best other target that is free; null if there is none
 * @property targets number of targets of the service that accept requests
 * @property freeTargets how many of them can begin another request at once
 */
public data class HedgeSituation(
    val runsLeft: Int,
    val timeLeftMs: Long,
    val suspect: Boolean,
    val elapsedMs: Long,
    val expectedMs: Double?,
    val targets: Int,
    val freeTargets: Int,
)

/** Whether a second send of a slow request begins. */
public sealed class HedgeDecision {
    /** It begins now and is deducted from the limits. */
    public data object Send : HedgeDecision()

    /** The request waits for its first send, for [reason]. */
    public data class Withhold(
        val reason: Reason,
    ) : HedgeDecision()

    /** Why no second send begins; [label] is its name in metrics. */
    public enum class Reason(
        public val label: String,
    ) {
        MAXIMUM_TARGETS("maximum targets"),
        SUSPECT("suspect prompt part"),
        PRESSURE("too few free targets"),
        NO_FREE_TARGET("no other free target"),
        NOT_SOONER("no sooner answer expected"),
        TIME_LEFT("too little time left"),
        LIMIT("share spent"),
        RETRY_BUDGET("retry budget spent"),
    }
}
