package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals

/** Loads of heavy days: a rare model, a busy one, a burst, and what is left to one engine after all hosts were away. */
class CopyPlanTest {
    private data class Case(
        val pattern: String,
        val requestsPerSecond: Double,
        val worthHaving: Int,
        val needed: Int,
    )

    @Test
    fun `replicas follow demand, and rare models make way only for those that callers wait for`() =
        listOf(
            Case("nobody asks: the one that there is", 0.0, worthHaving = 1, needed = 1),
            Case("a rare model", 0.12, worthHaving = 1, needed = 1),
            Case("a busy model of a small deployment", 3.0, worthHaving = 2, needed = 1),
            Case("a burst of one kind", 7.0, worthHaving = 3, needed = 2),
            Case("model shift in a large deployment", 20.0, worthHaving = 3, needed = 4),
            Case("a retry storm does not take every engine", 500.0, worthHaving = 3, needed = 8),
        ).forEach {
            assertEquals(it.worthHaving, CopyPlan.worthHaving(it.requestsPerSecond), it.pattern)
            assertEquals(it.needed, CopyPlan.needed(it.requestsPerSecond), it.pattern)
        }
}
