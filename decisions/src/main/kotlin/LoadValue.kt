package org.almondjunction.decisions

/** Weighs a load against what makes way for it; both sides count the waiting time of callers, in milliseconds. */
public object LoadValue {
    /**
     * Returns what a load is worth to those who wait for the model and those who will soon ask for it.
     *
     * @param callers callers that wait, each as [callerWeight] says
     */
    public fun valueMs(
        callers: Double,
        requestsPerSecond: Double,
    ): Double = (callers + (requestsPerSecond + LEAST_REQUESTS_PER_SECOND) * HORIZON_S) * UNSERVED_MS

    /** Returns the callers that a load worth [valueMs] is for, at least one. */
    public fun callersOf(valueMs: Double): Double = (valueMs / UNSERVED_MS).coerceAtLeast(1.0)

    /** Returns how much a waiting caller counts: one that can still be answered within its objective counts as a whole one. */
    public fun callerWeight(inTime: Boolean): Double = if (inTime) 1.0 else LATE_WEIGHT

    /** A caller that is refused or leaves is as bad as this much waiting; several times a usual objective. */
    private const val UNSERVED_MS = 10_000.0

    /** Time for which a loaded model usually stays, over which those who will ask for it are counted. */
    private const val HORIZON_S = 3.0

    /** Demand assumed of a model that nobody has asked for yet, one request in fifty seconds. */
    internal const val LEAST_REQUESTS_PER_SECOND = 0.02

    /** What a late answer is worth beside one in time. */
    private const val LATE_WEIGHT = 0.25
}
