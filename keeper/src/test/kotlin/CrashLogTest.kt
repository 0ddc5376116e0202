package org.almondjunction.keeper

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class CrashLogTest {
    private class Case(
        val pattern: String,
        val snapshot: EngineSnapshot?,
        val askedMs: Long,
        val confirmed: Boolean,
        val settled: Boolean,
    )

    private fun snapshot(startedMs: Long?) = EngineSnapshot(emptyMap(), busy = false, sequence = 0, startedMs = startedMs)

    private fun brokenOff(
        startedMs: Long,
        vararg parts: Long,
    ) = BrokenOff(startedMs, parts.mapIndexed { index, part -> PromptPart(part, index) })

    // Guards against answers that were cut short by something else and are taken for ends of the engine.
    @Test
    fun `a broken answer counts only if its engine has ended`() {
        listOf(
            Case("the engine does not answer", null, askedMs = 50, confirmed = true, settled = true),
            Case("another incarnation answers", snapshot(2_000), askedMs = 150, confirmed = true, settled = true),
            Case("the same incarnation answers to a later question", snapshot(1_000), askedMs = 150, confirmed = false, settled = true),
            Case("the same incarnation answers to an earlier question", snapshot(1_000), askedMs = 50, confirmed = false, settled = false),
            Case("an incarnation that does not tell its start", snapshot(null), askedMs = 150, confirmed = false, settled = true),
        ).forEach { case ->
            val log = CrashLog()
            log.report(brokenOff(1_000, 7), nowMs = 100)
            log.settle(case.snapshot, case.askedMs)
            assertEquals(
                if (case.confirmed) listOf(EngineCrash(1_000, 100, listOf(PromptPart(7, 0)))) else emptyList(),
                log.all(200),
                case.pattern,
            )
            log.settle(null, 300)
            assertEquals(case.confirmed || !case.settled, log.all(400).isNotEmpty(), "${case.pattern}, when it ends later")
        }
    }

    @Test
    fun `reports of one end are merged, and answers remove their parts`() {
        val log = CrashLog()
        listOf(brokenOff(1_000, 7, 8), brokenOff(1_000, 9, 7)).forEach { log.report(it, nowMs = 100_000) }
        log.settle(null, 100_000)
        assertEquals(listOf(EngineCrash(1_000, 0, listOf(PromptPart(7, 0), PromptPart(8, 1), PromptPart(9, 0)))), log.all(100_000))
        log.exonerate(listOf(AnsweredPart(8, ageMs = 0), AnsweredPart(9, ageMs = 60_000)), nowMs = 100_000)
        assertEquals(listOf(PromptPart(7, 0), PromptPart(9, 0)), log.all(100_000).single().parts)
        log.exonerate(listOf(AnsweredPart(7, ageMs = 0), AnsweredPart(9, ageMs = 0)), nowMs = 100_001)
        assertEquals(emptyList(), log.all(100_001))
    }

    // Guards against callers whose many requests fill the log with last parts and leave no room for the others.
    @Test
    fun `last parts have a limit of their own and displace no other parts`() {
        val log = CrashLog()
        val lastParts = List(500) { PromptPart(1_000L + it, it, last = true) }
        log.report(BrokenOff(1_000, lastParts + PromptPart(7, 0)), nowMs = 100)
        log.report(BrokenOff(1_000, listOf(PromptPart(8, 1), PromptPart(1_000, 0))), nowMs = 100)
        log.settle(null, 100)
        val parts = log.all(100).single().parts
        assertEquals(64, parts.count { it.last })
        assertEquals(listOf(PromptPart(7, 0), PromptPart(8, 1)), parts.filterNot { it.last })
        assertEquals(PromptPart(1_000, 0, last = true), parts.single { it.part == 1_000L }, "once last, always counted as last")
    }

    @Test
    fun `a restarted keeper takes what gateways know, and keeps its own`() {
        val known = listOf(EngineCrash(1_000, 500, listOf(PromptPart(7, 0))), EngineCrash(2_000, 100, listOf(PromptPart(8, 0))))
        val log = CrashLog()
        log.report(brokenOff(2_000, 9), nowMs = 10_000)
        log.settle(null, 10_000)
        log.restore(known, nowMs = 10_000)
        assertEquals(listOf(1_000L to 7L, 2_000L to 9L), log.all(10_000).map { it.startedMs to it.parts.single().part })
        val version = log.version
        log.restore(known, nowMs = 11_000)
        assertEquals(version, log.version)
    }

    @Test
    fun `the log of any number of ends fits into a message`() {
        val log = CrashLog()
        repeat(1_000) { crash ->
            log.report(brokenOff(crash * 1_000L, *LongArray(500) { Long.MAX_VALUE - crash * 1_000L - it }), nowMs = crash * 1_000L)
            val lastParts = List(500) { PromptPart(Long.MIN_VALUE + crash * 1_000L + it, it, last = true) }
            log.report(BrokenOff(crash * 1_000L, lastParts), nowMs = crash * 1_000L)
            log.settle(null, crash * 1_000L)
        }
        val frame = MessageChannel.encode(KeeperMessage.Status(emptyList(), crashes = log.all(1_000_000)))
        assertTrue(frame.size < 256 * 1024 / 2, "${frame.size} bytes")
        assertEquals(999_000L, log.all(1_000_000).last().startedMs)
    }
}
