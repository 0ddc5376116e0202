package org.almondjunction.keeper

import org.almondjunction.decisions.CrashEvidence

/**
 * Ends of the keeper's engine, with the prompt parts of requests that were broken off by them.
 *
 * Gateways report requests that were broken off; only those whose engine has really ended are kept.
 */
internal class CrashLog {
    private class Entry(
        val atMs: Long,
        val parts: MutableMap<Long, PromptPart> = mutableMapOf(),
    ) {
        fun add(reported: List<PromptPart>) {
            for (part in reported) if (part.part in parts || hasRoom(part)) parts.merge(part.part, part, ::merge)
        }

        /** Last parts are as many as requests, so they have a limit of their own. */
        private fun hasRoom(part: PromptPart): Boolean =
            parts.values.count { it.last == part.last } < if (part.last) MAXIMUM_LAST_PARTS else MAXIMUM_PARTS

        private fun merge(
            known: PromptPart,
            reported: PromptPart,
        ) = PromptPart(known.part, minOf(known.position, reported.position), known.last || reported.last)
    }

    private class Report(
        val receivedMs: Long,
        val brokenOff: BrokenOff,
    )

    /** Ends by the start of the incarnation that ended. */
    private val crashes = sortedMapOf<Long, Entry>()
    private val unconfirmed = mutableListOf<Report>()

    /** Increases with each change of [crashes]. */
    var version = 0
        private set

    /** Records that [brokenOff] was reported at [nowMs], until [settle] tells whether its engine has ended. */
    fun report(
        brokenOff: BrokenOff,
        nowMs: Long,
    ) {
        if (unconfirmed.size < MAXIMUM_UNCONFIRMED) unconfirmed += Report(nowMs, brokenOff)
    }

    /** Confirms or discards reports by what the engine reported to a question asked at [askedMs]; null if it does not answer. */
    fun settle(
        snapshot: EngineSnapshot?,
        askedMs: Long,
    ) {
        val settled = unconfirmed.filter { snapshot == null || hasEnded(it, snapshot) || it.receivedMs <= askedMs }
        settled.filter { snapshot == null || hasEnded(it, snapshot) }.forEach { record(it) }
        unconfirmed -= settled.toSet()
    }

    private fun hasEnded(
        report: Report,
        snapshot: EngineSnapshot,
    ): Boolean = snapshot.startedMs != null && snapshot.startedMs > report.brokenOff.startedMs

    private fun record(report: Report) {
        if (report.brokenOff.parts.isEmpty()) return
        crashes.getOrPut(report.brokenOff.startedMs) { Entry(report.receivedMs) }.add(report.brokenOff.parts)
        limit()
    }

    /** Adds those of [known] that are missing here, as after a restart of this process. */
    fun restore(
        known: List<EngineCrash>,
        nowMs: Long,
    ) {
        val missing = known.filter { it.startedMs !in crashes }
        missing.forEach { crash -> crashes[crash.startedMs] = Entry(nowMs - crash.ageMs).also { it.add(crash.parts) } }
        if (missing.isNotEmpty()) limit()
    }

    /** Removes parts that later answers have shown to be innocent. */
    fun exonerate(
        answered: List<AnsweredPart>,
        nowMs: Long,
    ) {
        var changed = false
        for (part in answered) {
            for (crash in crashes.values) {
                if (CrashEvidence.exonerates(nowMs - part.ageMs, crash.atMs) && crash.parts.remove(part.part) != null) changed = true
            }
        }
        if (changed) limit()
    }

    private fun limit() {
        crashes.values.removeIf { it.parts.isEmpty() }
        while (crashes.size > MAXIMUM_CRASHES) crashes.remove(crashes.firstKey())
        version++
    }

    fun all(nowMs: Long): List<EngineCrash> =
        crashes.map { (startedMs, entry) -> EngineCrash(startedMs, nowMs - entry.atMs, entry.parts.values.toList()) }

    private companion object {
        /** Limits that keep a status with all of them far below the maximum size of a message. */
        const val MAXIMUM_CRASHES = 32
        const val MAXIMUM_PARTS = 128
        const val MAXIMUM_LAST_PARTS = 64
        const val MAXIMUM_UNCONFIRMED = 512
    }
}
