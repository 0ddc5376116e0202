package org.almondjunction.decisions

/**
 * Estimates the duration of answers on each route, so that no answer is started that a planned stop would cut off.
 *
 * The duration is the time until the first part, and from then on a time proportional to the size.
 */
public class AnswerDurations {
    private class Sample(
        val firstPartMs: Long,
        val restMsPerUnit: Double,
    )

    private val routes = LruMap<String, ArrayDeque<Sample>>(MAXIMUM_ROUTES)

    /**
     * Records an answer on [route] that was complete [totalMs] after its request arrived.
     *
     * @param firstPartMs time until its first part
     * @param size number of units, such as tokens, to which its duration is proportional; values below 1 count as 1
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
        if (samples.size > MAXIMUM_SAMPLES) samples.removeFirst()
    }

    /** Returns the time within which an answer of [size] on [route] very likely completes, in milliseconds; null without samples. */
    public fun estimateMs(
        route: String,
        size: Long,
    ): Long? {
        val samples = routes[route] ?: return null
        val firstMs = samples.map { it.firstPartMs }.sorted()[(samples.size - 1) * FIRST_PART_PERCENTILE / PERCENT]
        return (firstMs + samples.maxOf { it.restMsPerUnit } * size.coerceAtLeast(1)).toLong()
    }

    private companion object {
        /** Samples kept per route; a few seconds of a busy route, so that a slowdown of the engine has an effect soon. */
        const val MAXIMUM_SAMPLES = 64

        /** Maximum number of routes; the least recently used are evicted. */
        const val MAXIMUM_ROUTES = 512

        /** Excludes waits for model weights, which are rare and far longer; a request that waits is checked again before it is sent. */
        const val FIRST_PART_PERCENTILE = 90
        const val PERCENT = 100
    }
}
