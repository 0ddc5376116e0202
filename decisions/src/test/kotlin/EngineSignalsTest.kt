package org.almondjunction.decisions

import org.almondjunction.common.TargetId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class EngineSignalsTest {
    private val target = TargetId("t")

    @Test
    fun `only plain numbers of seconds are times, and long ones are cut`() =
        mapOf(
            "2" to 2_000L,
            " 1.5 " to 1_500,
            "0.0001" to 1,
            ".25" to 250,
            "3." to 3_000,
            "0" to 0,
            "60" to 60_000,
            "61" to 60_000,
            "9".repeat(400) to 60_000,
            "-1" to null,
            "-0.5" to null,
            "+1" to null,
            "NaN" to null,
            "Infinity" to null,
            "1e3" to null,
            "0x10" to null,
            "1f" to null,
            "1,5" to null,
            "" to null,
            "soon" to null,
            "Sun, 06 Dec 2026 21:00:00 GMT" to null,
        ).forEach { (value, expectedMs) -> assertEquals(expectedMs, EngineSignals.waitMs(value), "\"$value\"") }

    private data class Case(
        val pattern: String,
        val status: Int = 200,
        val leaving: List<String> = emptyList(),
        val retryAfter: List<String> = emptyList(),
        val expected: List<EngineSignal>,
        val expectedWaitMs: Long? = 0,
    )

    @Test
    fun `an answer tells whether its engine is leaving or wants no requests`() =
        listOf(
            Case("nothing said", expected = emptyList()),
            Case("leaving in a success", leaving = listOf("1"), expected = listOf(EngineSignal.Leaving), expectedWaitMs = null),
            Case("leaving in an error", 500, leaving = listOf("1"), expected = listOf(EngineSignal.Leaving), expectedWaitMs = null),
            Case("not leaving", leaving = listOf("0"), expected = emptyList()),
            Case("asked to wait", 503, retryAfter = listOf("1.5"), expected = listOf(EngineSignal.Wait(1_500)), expectedWaitMs = 1_500),
            Case(
                "the longer of two times",
                503,
                retryAfter = listOf("1", "2"),
                expected = listOf(EngineSignal.Wait(1_000)),
                expectedWaitMs = 2_000,
            ),
            Case("a time in another answer than a 503", 429, retryAfter = listOf("5"), expected = emptyList()),
            Case("a faulty time", 503, retryAfter = listOf("-1"), expected = listOf(EngineSignal.Ignored("-1"))),
            Case("no time at all", 503, retryAfter = listOf("0"), expected = emptyList()),
            Case(
                "both",
                503,
                listOf("1"),
                listOf("2"),
                expected = listOf(EngineSignal.Leaving, EngineSignal.Wait(2_000)),
                expectedWaitMs = null,
            ),
        ).forEach { case ->
            val signals = EngineSignals()
            assertEquals(case.expected, signals.receive(target, 1, case.status, case.leaving, case.retryAfter, nowMs = 100), case.pattern)
            assertEquals(case.expectedWaitMs, signals.waitMs(target, 1, nowMs = 100), case.pattern)
            assertEquals(case.expectedWaitMs == 0L, signals.accepts(target, 1, nowMs = 100), case.pattern)
            assertTrue(signals.accepts(target, startedMs = 2, nowMs = 100), "${case.pattern}: next incarnation")
        }

    // Guards against a shorter time, in an answer that arrives later, which ends a longer one too early.
    @Test
    fun `a longer time holds when a shorter one is given after it`() {
        val signals = EngineSignals()
        signals.receive(target, 1, 503, emptyList(), listOf("10"), nowMs = 0)
        assertEquals(emptyList(), signals.receive(target, 1, 503, emptyList(), listOf("1"), nowMs = 10))
        assertEquals(false, signals.accepts(target, 1, nowMs = 9_999))
        assertEquals(emptyList(), signals.takeEnded(nowMs = 9_999))
        assertEquals(true, signals.accepts(target, 1, nowMs = 10_000))
        assertEquals(listOf(target), signals.takeEnded(nowMs = 10_000))
        assertEquals(emptyList(), signals.takeEnded(nowMs = 10_001))
    }

    @Test
    fun `a faulty time is reported once for each engine`() {
        val signals = EngineSignals()
        val reports = List(3) { signals.receive(target, 1, 503, emptyList(), listOf("soon"), nowMs = 0) }
        assertEquals(listOf(EngineSignal.Ignored("soon")), reports.flatten())
    }

    @Test
    fun `callers are told a time that is true, and not all the same one`() {
        val random = Random(5)
        val toldMs = List(1_000) { EngineSignals.retryAfterMs(2_000, random) }
        assertTrue(toldMs.all { it in 2_005..2_505 }, "${toldMs.minOrNull()} to ${toldMs.maxOrNull()}")
        assertTrue(toldMs.toSet().size > 100)
        assertNull(toldMs.find { it < 2_000 })
    }
}
