package org.almondjunction.decisions

/**
 * A prompt part of a request that was broken off when its target ended.
 *
 * @property part identity of the part, the same wherever it stands
 * @property position its place in the prompt; 0 is the first
 */
public data class SuspectPart(
    val part: Long,
    val position: Int,
)

/**
 * The end of a target at [atMs] with the [parts] of requests that it had not answered.
 *
 * @property id identifies the incarnation of the target among all at its address
 */
public data class TargetCrash(
    val id: Long,
    val atMs: Long,
    val parts: List<SuspectPart>,
)

/** What is known of the prompt parts of a request. */
public sealed class PartVerdict {
    /** Nothing speaks against them. */
    public data object Sound : PartVerdict()

    /** Targets ended under requests with [part], which may be a coincidence. */
    public data class Suspect(
        val part: Long,
    ) : PartVerdict()

    /** Requests with [part] end their targets; after [probeMs], one of them may find out whether that is still so. */
    public data class Quarantined(
        val part: Long,
        val crashes: Int,
        val probeMs: Long,
    ) : PartVerdict()
}

/**
 * Finds the prompt parts that end targets, from the targets that ended and the answers that were complete.
 *
 * A part of a complete answer is innocent of the ends after it for [INNOCENCE_MS] and of all ends before it. The remaining ends are explained
 * by as few parts as possible, so that requests which merely ran on the same targets stay sound.
 *
 * @param maximumParts limit for the parts that are kept, which bounds the memory; the oldest ends are dropped
 */
public class CrashEvidence(
    private val maximumParts: Int = DEFAULT_MAXIMUM_PARTS,
) {
    private class Suspicion(
        val crashes: Int,
        val lastMs: Long,
    )

    private val crashesBySource = mutableMapOf<String, List<TargetCrash>>()
    private val answeredMs = LruMap<Long, Long>(MAXIMUM_ANSWERED_PARTS)
    private var suspicions = emptyMap<Long, Suspicion>()

    /** Parts that are quarantined now. */
    public val quarantined: Set<Long> get() = suspicions.filterValues { it.crashes >= QUARANTINE_CRASHES }.keys

    /** Number of parts that are kept with the ends of targets. */
    public val size: Int get() = crashesBySource.values.sumOf { crashes -> crashes.sumOf { it.parts.size } }

    /**
     * Replaces what [source] reports of the ends of its target by [crashes].
     *
     * Returns the parts among them that are known to be innocent, with the times of their last complete answers.
     */
    public fun replace(
        source: String,
        crashes: List<TargetCrash>,
    ): Map<Long, Long> {
        val innocent = mutableMapOf<Long, Long>()
        val remaining =
            crashes.map { crash ->
                val (exonerated, suspect) = crash.parts.partition { isInnocent(it.part, crash.atMs) }
                exonerated.forEach { innocent[it.part] = answeredMs.getValue(it.part) }
                crash.copy(parts = suspect)
            }
        store(source, remaining)
        dropOldest()
        explain()
        return innocent
    }

    /** Returns the ends that [source] reported. */
    public fun crashesOf(source: String): List<TargetCrash> = crashesBySource[source].orEmpty()

    /** Records a complete answer to a request with [parts]; returns those that it exonerates, by source. */
    public fun recordAnswer(
        parts: List<Long>,
        nowMs: Long,
    ): Map<String, List<Long>> {
        parts.forEach { answeredMs[it] = nowMs }
        val exonerated =
            crashesBySource
                .mapValues { (_, crashes) -> parts.filter { part -> crashes.any { crash -> crash.parts.any { it.part == part } } } }
                .filterValues { it.isNotEmpty() }
        for (source in exonerated.keys) {
            store(source, crashesOf(source).map { crash -> crash.copy(parts = crash.parts.filterNot { isInnocent(it.part, crash.atMs) }) })
        }
        if (exonerated.isNotEmpty()) explain()
        return exonerated
    }

    /** Returns those of [parts], in the order of a prompt, that may have ended a target at [nowMs]. */
    public fun suspects(
        parts: List<Long>,
        nowMs: Long,
    ): List<SuspectPart> = parts.mapIndexed { index, part -> SuspectPart(part, index) }.filterNot { isInnocent(it.part, nowMs) }

    /** Returns the verdict on the worst of [parts]. */
    public fun verdict(parts: List<Long>): PartVerdict {
        if (suspicions.isEmpty()) return PartVerdict.Sound
        val (part, suspicion) =
            parts.mapNotNull { part -> suspicions[part]?.let { part to it } }.maxByOrNull { it.second.crashes } ?: return PartVerdict.Sound
        if (suspicion.crashes < QUARANTINE_CRASHES) return PartVerdict.Suspect(part)
        val factor = 1L shl (PROBE_INTERVAL_SHIFT * (suspicion.crashes - QUARANTINE_CRASHES)).coerceAtMost(MAXIMUM_SHIFT)
        return PartVerdict.Quarantined(part, suspicion.crashes, suspicion.lastMs + FIRST_PROBE_MS * factor)
    }

    private fun isInnocent(
        part: Long,
        crashMs: Long,
    ): Boolean = answeredMs[part]?.let { exonerates(it, crashMs) } ?: false

    private fun store(
        source: String,
        crashes: List<TargetCrash>,
    ) {
        val remaining = crashes.filter { it.parts.isNotEmpty() }
        if (remaining.isEmpty()) crashesBySource.remove(source) else crashesBySource[source] = remaining
    }

    private fun dropOldest() {
        while (size > maximumParts) {
            val (source, crashes) = crashesBySource.entries.minBy { entry -> entry.value.minOf { it.atMs } }
            store(source, crashes - crashes.minBy { it.atMs })
        }
    }

    private fun explain() {
        var unexplained = crashesBySource.values.flatten()
        val found = mutableMapOf<Long, Suspicion>()
        while (true) {
            val best = candidates(unexplained).maxWithOrNull(compareBy({ it.crashes }, { it.position }, { it.part })) ?: break
            if (best.crashes < SUSPICIOUS_CRASHES) break
            found[best.part] = Suspicion(best.crashes, best.lastMs)
            unexplained = unexplained.filter { crash -> crash.parts.none { it.part == best.part } }
        }
        suspicions = found
    }

    private class Candidate(
        val part: Long,
        val crashes: Int,
        val lastMs: Long,
        val position: Int,
    )

    private fun candidates(crashes: List<TargetCrash>): List<Candidate> {
        val timesByPart = mutableMapOf<Long, MutableList<Long>>()
        val positions = mutableMapOf<Long, Int>()
        crashes.sortedBy { it.atMs }.forEach { crash ->
            crash.parts.forEach { suspect ->
                timesByPart.getOrPut(suspect.part) { mutableListOf() } += crash.atMs
                positions.merge(suspect.part, suspect.position, ::minOf)
            }
        }
        return timesByPart.map { (part, times) -> Candidate(part, separate(times), times.last(), positions.getValue(part)) }
    }

    /** Counts the ends at [times], which are in order; targets that end together have a common cause and count once. */
    private fun separate(times: List<Long>): Int {
        var count = 0
        var countedMs = Long.MIN_VALUE / 2
        for (timeMs in times) {
            if (timeMs - countedMs < COMMON_CAUSE_MS) continue
            count++
            countedMs = timeMs
        }
        return count
    }

    public companion object {
        /** Whether a complete answer at [answeredMs] shows that its parts did not end a target at [crashMs]. */
        public fun exonerates(
            answeredMs: Long,
            crashMs: Long,
        ): Boolean = answeredMs >= crashMs - INNOCENCE_MS

        /** Time after a complete answer in which its parts are not suspected; a new version of a target may change what ends it. */
        public const val INNOCENCE_MS: Long = 30_000

        /** Number of separate ends of targets from which a part is suspect, and from which it is quarantined. */
        public const val SUSPICIOUS_CRASHES: Int = 2
        public const val QUARANTINE_CRASHES: Int = 3

        /** Targets on one rack or switch end within this time of each other. */
        private const val COMMON_CAUSE_MS = 100L

        /** Time from the last end to the first probe; each probe that ends a target multiplies it by 4, since it costs a target. */
        private const val FIRST_PROBE_MS = 15_000L
        private const val PROBE_INTERVAL_SHIFT = 2
        private const val MAXIMUM_SHIFT = 20
        private const val MAXIMUM_ANSWERED_PARTS = 8_192
        private const val DEFAULT_MAXIMUM_PARTS = 16_384
    }
}
