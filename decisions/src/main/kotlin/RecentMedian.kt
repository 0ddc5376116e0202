package org.almondjunction.decisions

/** Weighted median of the latest values of something, so that single odd ones do not move it. */
internal class RecentMedian {
    private class Sample(
        val value: Double,
        val weight: Double,
    )

    private val samples = ArrayDeque<Sample>()
    private var median = 0.0
    private var newestMs = 0L

    /** Notes [value], which counts as much as [weight] says. */
    fun record(
        value: Double,
        weight: Double,
        nowMs: Long,
    ) {
        if (nowMs - newestMs > MEMORY_MS) samples.clear()
        samples.addLast(Sample(value, weight))
        if (samples.size > MOST_SAMPLES) samples.removeFirst()
        newestMs = nowMs
        median = weightedMedian()
    }

    private fun weightedMedian(): Double {
        val half = samples.sumOf { it.weight } / 2
        var before = 0.0
        return samples
            .sortedBy { it.value }
            .first { sample ->
                before += sample.weight
                before >= half
            }.value
    }

    /** Returns the median; null while there are too few values, or none of late. */
    fun value(nowMs: Long): Double? = if (samples.size < LEAST_SAMPLES || nowMs - newestMs > MEMORY_MS) null else median

    private companion object {
        /** Values that are remembered: few, so that a change shows soon. */
        const val MOST_SAMPLES = 15

        /** With fewer values two odd ones could be the median. */
        const val LEAST_SAMPLES = 5

        /** A target that is slow for some seconds and gets no requests therefore counts like others again after this. */
        const val MEMORY_MS = 20_000L
    }
}
