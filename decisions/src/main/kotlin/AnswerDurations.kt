package org.almondjunction.decisions

/**
 * Learns from answers how long those of each route last, so that one that would be cut by a planned stop is not begun.
 *
 * An answer takes the wait for its first part, and from then on a time that grows with its size.
 */
public class AnswerDurations {
    private class Sample(
        val firstPartMs: Long,
        val restMsPerUnit: Double,
    )

    private val routes = RecentlyUsed<String, ArrayDeque<Sample>>(MOST_ROUTES)

    /**
     * Notes an answer on [route] that was complete [totalMs] after its request came.
     *
     * @param firstPartMs time until its first part
     * @param size what its length grows with, such as tokens; values below 1 count as 1
     */
    public fun record(
        route: String,
        firstPartMs: Long,
        totalMs: Long,
        size: Long,
    ) {
        val restMs = (totalMs - firstPartMs).coerceAtLeast(0).toDouble()
        val samples = routes.getOrPut(route) { ArrayDeque() }
        samples.addLast(Sample(firstPartMs, restMs / size.coerceAtLeast(1)))
        if (samples.size > MOST_SAMPLES) samples.removeFirst()
    }

    /** Returns a time within which an answer of [size] on [route] very likely ends, in milliseconds; null where nothing is known. */
    public fun estimateMs(
        route: String,
        size: Long,
    ): Long? {
        val samples = routes[route] ?: return null
        val firstMs = samples.map { it.firstPartMs }.sorted()[(samples.size - 1) * FIRST_PART_PERCENTILE / PERCENT]
        return (firstMs + samples.maxOf { it.restMsPerUnit } * size.coerceAtLeast(1)).toLong()
    }

    private companion object {
        /** Answers of a route that are remembered; some seconds of a busy route, so that a slower engine shows soon. */
        const val MOST_SAMPLES = 64

        /** Bound on the routes that are remembered; the least recently used are forgotten. */
        const val MOST_ROUTES = 512

        /** Waits for weights are rare and far longer than others; a request that waits is examined again before it is sent. */
        const val FIRST_PART_PERCENTILE = 90
        const val PERCENT = 100
    }
}
