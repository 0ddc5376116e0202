package org.almondjunction.decisions

import kotlin.math.ceil

/** Decides how many replicas of a model its demand asks for. */
public object CopyPlan {
    /** Returns the replicas that serve [requestsPerSecond] beside other models without delay; worth having where there is room. */
    public fun worthHaving(requestsPerSecond: Double): Int = copies(requestsPerSecond, EASY_REQUESTS_PER_SECOND, MOST_SPARE_COPIES)

    /** Returns the replicas without which callers wait at [requestsPerSecond]; rarely used models make way for them. */
    public fun needed(requestsPerSecond: Double): Int = copies(requestsPerSecond, FULL_REQUESTS_PER_SECOND, MOST_NEEDED_COPIES)

    private fun copies(
        requestsPerSecond: Double,
        perCopy: Double,
        most: Int,
    ): Int = ceil(requestsPerSecond / perCopy).toInt().coerceIn(1, most)

    /** What an engine serves beside others without delay, and a loss then leaves one replica. */
    private const val EASY_REQUESTS_PER_SECOND = 1.5
    private const val MOST_SPARE_COPIES = 3

    /** Reading a prompt takes an engine 75 to 240 ms at the users' sheets; this many a second fill about half of its time. */
    private const val FULL_REQUESTS_PER_SECOND = 6.0
    private const val MOST_NEEDED_COPIES = 8
}
