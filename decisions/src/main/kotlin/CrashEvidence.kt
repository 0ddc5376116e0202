package org.almondjunction.decisions

/**
 * A prompt part of a request that was broken off when its target ended.
 *
 * @property part identity of the part, the same wherever it stands
 * @property position its place in the prompt; 0 is the first
 * @property last whether it was the last part of its prompt, which few other requests have
 */
public data class SuspectPart(
    val part: Long,
    val position: Int,
    val last: Boolean = false,
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
        val quarantineCrashes: Int,
    ) {
        val quarantined get() = crashes >= quarantineCrashes
    }

    /** An end of a target, of which [explained] tells whether a part explains it. */
    private class KnownEnd(
        val atMs: Long,
        val explained: Boolean,
    )

    private val crashesBySource = mutableMapOf<String, List<TargetCrash>>()
    private val answeredMs = LruMap<Long, Long>(MAXIMUM_ANSWERED_PARTS)

    /** Kept apart from [answeredMs], since almost every answer adds one of these. */
    private val answeredLastMs = LruMap<Long, Long>(MAXIMUM_ANSWERED_PARTS)

    /** Times of the ends of targets by source and incarnation, also of those whose parts are all innocent. */
    private val endsMs = LruMap<Pair<String, Long>, Long>(MAXIMUM_ENDS)
    private var suspicions = emptyMap<Long, Suspicion>()

    /** All parts that are kept with the ends of targets; spares a search for each answer, few of which have one of them. */
    private var keptParts = emptySet<Long>()

    /** Parts that are quarantined now. */
    public val quarantined: Set<Long> get() = suspicions.filterValues { it.quarantined }.keys

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
        crashes.forEach { endsMs[source to it.id] = it.atMs }
        val remaining =
            crashes.map { crash ->
                val (exonerated, suspect) = crash.parts.partition { isInnocent(it.part, crash.atMs) }
                exonerated.forEach { innocent[it.part] = checkNotNull(lastAnswerMs(it.part)) }
                crash.copy(parts = suspect)
            }
        store(source, remaining)
        dropOldest()
        explain()
        return innocent
    }

    /** Whether [source] has reported the end of the incarnation [id] of its target, also if answers have cleared all its parts since. */
    public fun hasEnded(
        source: String,
        id: Long,
    ): Boolean = (source to id) in endsMs

    /** Returns the ends that [source] reported. */
    public fun crashesOf(source: String): List<TargetCrash> = crashesBySource[source].orEmpty()

    /** Records a complete answer to a request with [parts] and the [last] part; returns those that it exonerates, by source. */
    public fun recordAnswer(
        parts: List<Long>,
        nowMs: Long,
        last: SuspectPart? = null,
    ): Map<String, List<Long>> {
        parts.forEach { answeredMs[it] = nowMs }
        last?.let { answeredLastMs[it.part] = nowMs }
        val answered = (parts + listOfNotNull(last?.part)).filter { it in keptParts }
        if (answered.isEmpty()) return emptyMap()
        val exonerated =
            crashesBySource
                .mapValues { (_, crashes) -> answered.filter { part -> crashes.any { crash -> crash.parts.any { it.part == part } } } }
                .filterValues { it.isNotEmpty() }
        for (source in exonerated.keys) {
            store(source, crashesOf(source).map { crash -> crash.copy(parts = crash.parts.filterNot { isInnocent(it.part, crash.atMs) }) })
        }
        if (exonerated.isNotEmpty()) explain()
        return exonerated
    }

    /** Returns those of [parts], in the order of a prompt, and of its [last] part that may have ended a target at [nowMs]. */
    public fun suspects(
        parts: List<Long>,
        nowMs: Long,
        last: SuspectPart? = null,
    ): List<SuspectPart> =
        (parts.mapIndexed { index, part -> SuspectPart(part, index) } + listOfNotNull(last)).filterNot { isInnocent(it.part, nowMs) }

    /** Returns the verdict on the worst of [parts]. */
    public fun verdict(parts: List<Long>): PartVerdict {
        if (suspicions.isEmpty()) return PartVerdict.Sound
        val (part, suspicion) =
            parts.mapNotNull { part -> suspicions[part]?.let { part to it } }.maxByOrNull { it.second.crashes } ?: return PartVerdict.Sound
        if (!suspicion.quarantined) return PartVerdict.Suspect(part)
        val factor = 1L shl (PROBE_INTERVAL_SHIFT * (suspicion.crashes - suspicion.quarantineCrashes)).coerceAtMost(MAXIMUM_SHIFT)
        return PartVerdict.Quarantined(part, suspicion.crashes, suspicion.lastMs + FIRST_PROBE_MS * factor)
    }

    private fun isInnocent(
        part: Long,
        crashMs: Long,
    ): Boolean = lastAnswerMs(part)?.let { exonerates(it, crashMs) } ?: false

    private fun lastAnswerMs(part: Long): Long? = listOfNotNull(answeredMs[part], answeredLastMs[part]).maxOrNull()

    private fun store(
        source: String,
        crashes: List<TargetCrash>,
    ) {
        val remaining = crashes.filter { it.parts.isNotEmpty() }
        if (remaining.isEmpty()) crashesBySource.remove(source) else crashesBySource[source] = remaining
    }

    private fun dropOldest() {
        dropOldestLastParts()
        while (size > maximumParts) {
            val (source, crashes) = crashesBySource.entries.minBy { entry -> entry.value.minOf { it.atMs } }
            store(source, crashes - crashes.minBy { it.atMs })
        }
    }

    /** Last parts are as many as requests, so they have a share of the memory of their own. */
    private fun dropOldestLastParts() {
        while (crashesBySource.values.sumOf { crashes -> crashes.sumOf { crash -> crash.parts.count { it.last } } } >
            maximumParts / LAST_PARTS_DIVISOR
        ) {
            val withLast = crashesBySource.mapValues { (_, crashes) -> crashes.filter { crash -> crash.parts.any { it.last } } }
            val (source, crashes) = withLast.entries.filter { it.value.isNotEmpty() }.minBy { entry -> entry.value.minOf { it.atMs } }
            val oldest = crashes.minBy { it.atMs }
            store(source, crashesOf(source).map { if (it === oldest) it.copy(parts = it.parts.filterNot { part -> part.last }) else it })
        }
    }

    private fun explain() {
        keptParts = crashesBySource.values.flatMapTo(mutableSetOf()) { crashes -> crashes.flatMap { crash -> crash.parts.map { it.part } } }
        val fewest = findFewest()
        val found = fewest + lastPartsWithin(fewest)
        val ends = knownEnds(found.map { it.part }.toSet())
        suspicions = found.associate { it.part to Suspicion(it.crashes, it.lastMs, quarantineCrashes(it, ends)) }
    }

    /**
     * Returns further last parts that were in several ends, except in ends that a part of [fewest] explains which is not a last one.
     *
     * Several requests whose last parts end targets may run on one target; none of them excuses the others.
     */
    private fun lastPartsWithin(fewest: List<Candidate>): List<Candidate> {
        val known = fewest.map { it.part }.toSet()
        val excusing = fewest.filterNot { it.last }.map { it.part }.toSet()
        return candidates(crashesBySource.values.flatten().filter { crash -> crash.parts.none { it.part in excusing } })
            .filter { it.last && it.crashes >= SUSPICIOUS_CRASHES && it.part !in known }
    }

    /** A part needs more ends if most targets that ended shortly before did so for no known part. */
    private fun quarantineCrashes(
        candidate: Candidate,
        ends: List<KnownEnd>,
    ): Int {
        val (explained, unexplained) =
            ends
                .filter {
                    it.atMs in candidate.lastMs - RECENT_ENDS_MS..candidate.lastMs
                }.partition { it.explained }
        val mostlyExplained = separate(unexplained.map { it.atMs }) < separate(explained.map { it.atMs })
        return if (mostlyExplained) QUARANTINE_CRASHES else QUARANTINE_CRASHES_AMONG_CHANCE
    }

    private fun knownEnds(found: Set<Long>): List<KnownEnd> {
        val explained =
            crashesBySource
                .flatMap { (source, crashes) -> crashes.filter { crash -> crash.parts.any { it.part in found } }.map { source to it.id } }
                .toSet()
        return endsMs.map { (end, atMs) -> KnownEnd(atMs, end in explained) }.sortedBy { it.atMs }
    }

    private fun findFewest(): List<Candidate> {
        var unexplained = crashesBySource.values.flatten()
        val found = mutableListOf<Candidate>()
        while (true) {
            val best = candidates(unexplained).maxWithOrNull(compareBy({ it.crashes }, { it.position }, { it.part })) ?: break
            if (best.crashes < SUSPICIOUS_CRASHES) break
            found += best
            unexplained = unexplained.filter { crash -> crash.parts.none { it.part == best.part } }
        }
        return found
    }

    private class Candidate(
        val part: Long,
        val crashes: Int,
        val lastMs: Long,
        val position: Int,
        val last: Boolean,
    )

    private fun candidates(crashes: List<TargetCrash>): List<Candidate> {
        val timesByPart = mutableMapOf<Long, MutableList<Long>>()
        val positions = mutableMapOf<Long, Int>()
        val lastParts = mutableSetOf<Long>()
        crashes.sortedBy { it.atMs }.forEach { crash ->
            crash.parts.forEach { suspect ->
                timesByPart.getOrPut(suspect.part) { mutableListOf() } += crash.atMs
                positions.merge(suspect.part, suspect.position, ::minOf)
                if (suspect.last) lastParts += suspect.part
            }
        }
        return timesByPart.map { (part, times) ->
            Candidate(part, separate(times), times.last(), positions.getValue(part), part in lastParts)
        }
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

        /** Number of separate ends of targets from which a part is suspect. */
        public const val SUSPICIOUS_CRASHES: Int = 2

        /** Number of separate ends from which a part is quarantined, and the same while targets end by chance. */
        public const val QUARANTINE_CRASHES: Int = 2
        public const val QUARANTINE_CRASHES_AMONG_CHANCE: Int = 3

        /** Time before the end of a target in which ends without a known cause show that targets end by chance. */
        private const val RECENT_ENDS_MS = 60_000L

        /** Ends that are remembered to tell whether targets end by chance; 100 targets would end five times each in that time. */
        private const val MAXIMUM_ENDS = 512

        /** Last parts may take this fraction of the memory for parts. */
        private const val LAST_PARTS_DIVISOR = 4

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
