package org.almondjunction.decisions

/**
 * Learns from answers how long those of each route last, so that one that would be cut by a planned stop is not begun.
 *
 * An answer takes the wait for its first part, and from then on a time that grows with its size.
 */
public class AnswerDurations {
    private class Samples {
        val firstPartMs = ArrayDeque<Double>()
        val restMsPerUnit = ArrayDeque<Double>()

        fun add(
            firstMs: Double,
            restMs: Double,
        ) {
            firstPartMs.addLast(firstMs)
            restMsPerUnit.addLast(restMs)
            if (firstPartMs.size > MOST_SAMPLES) {
                firstPartMs.removeFirst()
                restMsPerUnit.removeFirst()
            }
        }
    }

    private val routes = RecentlyUsed<String, Samples>(MOST_ROUTES)

    /**
     * Notes an answer on [route] that was complete [wholeMs] after its request came.
     *
     * @param firstPartMs time until its first part
     * @param size what its length grows with, such as tokens; values below 1 count as 1
     */
    public fun record(
        route: String,
        firstPartMs: Long,
        wholeMs: Long,
        size: Long,
    ) {
        val restMs = (wholeMs - firstPartMs).coerceAtLeast(0).toDouble()
        routes.getOrPut(route) { Samples() }.add(firstPartMs.toDouble(), restMs / size.coerceAtLeast(1))
    }

    /** Returns a time within which an answer of [size] on [route] very likely ends, in milliseconds; null where nothing is known. */
    public fun likelyMs(
        route: String,
        size: Long,
    ): Long? {
        val samples = routes[route] ?: return null
        val first = samples.firstPartMs.sorted()
        val firstMs = first[(first.size - 1) * FIRST_PART_PERCENTILE / PERCENT]
        return (firstMs + samples.restMsPerUnit.max() * size.coerceAtLeast(1)).toLong()
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
