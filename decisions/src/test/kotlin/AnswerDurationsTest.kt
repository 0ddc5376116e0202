package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class AnswerDurationsTest {
    /** An answer of [size] whose first part arrived after [firstMs], and that was complete after [totalMs]. */
    private data class Answer(
        val firstMs: Long,
        val totalMs: Long,
        val size: Long,
    )

    private data class Case(
        val pattern: String,
        val answers: List<Answer>,
        val size: Long,
        val estimateMs: Long?,
    )

    @Test
    fun `an estimate follows the slowest answer of its route and grows with the size`() {
        listOf(
            Case("no samples", emptyList(), 10, null),
            Case("plain answers have no size", listOf(Answer(40, 40, 0), Answer(50, 50, 0)), 0, 40),
            Case("a long chat among short ones", List(9) { Answer(100, 200, 50) } + Answer(100, 400, 100), 300, 100 + 900),
            Case(
                "one wait for weights has no effect",
                List(19) { Answer(100, 200, 100) } + Answer(6_000, 6_100, 100),
                100,
                200,
            ),
            Case("old samples are dropped", listOf(Answer(0, 9_000, 1)) + List(64) { Answer(10, 20, 1) }, 1, 20),
        ).forEach { case ->
            val durations = AnswerDurations()
            case.answers.forEach { durations.record("route", it.firstMs, it.totalMs, it.size) }
            assertEquals(case.estimateMs, durations.estimateMs("route", case.size), case.pattern)
        }
    }

    @Test
    fun `the least recently used routes are evicted`() {
        val durations = AnswerDurations()
        repeat(600) { durations.record("route $it", 1, 2, 1) }
        assertNull(durations.estimateMs("route 0", 1))
        assertEquals(2, durations.estimateMs("route 599", 1))
    }
}
