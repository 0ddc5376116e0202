package org.almondjunction.decisions

/** Value of a load, comparable to the cost of the evictions for it; both are waiting time of callers, in milliseconds. */
public object LoadValue {
    /**
     * Returns the value of a load to the callers that wait for the model and to those expected soon.
     *
     * @param callers waiting callers, each with its [callerWeight]
     */
    public fun valueMs(
        callers: Double,
        requestsPerSecond: Double,
    ): Double = (callers + (requestsPerSecond + MINIMUM_REQUESTS_PER_SECOND) * HORIZON_S) * UNSERVED_COST_MS

    /** Returns the number of waiting callers that corresponds to [valueMs], at least one. */
    public fun callersOf(valueMs: Double): Double = (valueMs / UNSERVED_COST_MS).coerceAtLeast(1.0)

    /** Returns the weight of a waiting caller; 1 if it can still be answered within its latency objective. */
    public fun callerWeight(inTime: Boolean): Double = if (inTime) 1.0 else LATE_WEIGHT

    /** Waiting time that a refused or disconnected caller counts as; several times a usual latency objective. */
    private const val UNSERVED_COST_MS = 10_000.0

    /** Time for which a model usually stays loaded, over which expected callers are counted. */
    private const val HORIZON_S = 3.0

    /** Demand assumed for a model without requests so far, one request in fifty seconds. */
    internal const val MINIMUM_REQUESTS_PER_SECOND = 0.02

    /** Value of a late answer relative to one in time. */
    private const val LATE_WEIGHT = 0.25
}
