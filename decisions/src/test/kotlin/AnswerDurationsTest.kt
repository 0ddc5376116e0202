package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class AnswerDurationsTest {
    /** An answer of [size] whose first part came after [firstMs], and that was complete after [totalMs]. */
    private data class Answer(
        val firstMs: Long,
        val totalMs: Long,
        val size: Long,
    )

    private data class Case(
        val pattern: String,
        val answers: List<Answer>,
        val size: Long,
        val likelyMs: Long?,
    )

    @Test
    fun `an answer likely lasts as long as the slowest of its route for its size`() {
        listOf(
            Case("nothing is known", emptyList(), 10, null),
            Case("plain answers have no size", listOf(Answer(40, 40, 0), Answer(50, 50, 0)), 0, 40),
            Case("a long chat beside short ones", List(9) { Answer(100, 200, 50) } + Answer(100, 400, 100), 300, 100 + 900),
            Case(
                "one that waited for weights tells nothing of others",
                List(19) { Answer(100, 200, 100) } + Answer(6_000, 6_100, 100),
                100,
                200,
            ),
            Case("what was seen long ago is forgotten", listOf(Answer(0, 9_000, 1)) + List(64) { Answer(10, 20, 1) }, 1, 20),
        ).forEach { case ->
            val durations = AnswerDurations()
            case.answers.forEach { durations.record("route", it.firstMs, it.totalMs, it.size) }
            assertEquals(case.likelyMs, durations.estimateMs("route", case.size), case.pattern)
        }
    }

    @Test
    fun `of very many routes the least recently used are forgotten`() {
        val durations = AnswerDurations()
        repeat(600) { durations.record("route $it", 1, 2, 1) }
        assertNull(durations.estimateMs("route 0", 1))
        assertEquals(2, durations.estimateMs("route 599", 1))
    }
}
