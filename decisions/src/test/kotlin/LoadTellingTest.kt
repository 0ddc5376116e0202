package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals

class LoadTellingTest {
    private data class Case(
        val pattern: String,
        val gateways: Int,
        val toldTokens: Long,
        val usedTokens: Long,
        val dueMs: Long,
        val capacityTokens: Long = 232_000,
    )

    @Test
    fun `a load is told sooner after a jump, and never more often than gateways allow`() {
        listOf(
            Case("a small deployment", 5, 50_000, 60_000, dueMs = 200),
            Case("a large deployment", 33, 50_000, 60_000, dueMs = 1_320),
            Case("reviews fill the engine", 33, 50_000, 90_000, dueMs = 330),
            Case("reviews have ended", 33, 90_000, 50_000, dueMs = 330),
            Case("reviews fill the engine of a small deployment", 5, 50_000, 90_000, dueMs = 100),
            Case("the memory is not known", 33, 50_000, 90_000, dueMs = 1_320, capacityTokens = 0),
        ).forEach { case ->
            val due = { sinceMs: Long -> LoadTelling.isDue(sinceMs, case.gateways, case.toldTokens, case.usedTokens, case.capacityTokens) }
            assertEquals(listOf(false, true), listOf(due(case.dueMs - 1), due(case.dueMs)), case.pattern)
        }
    }
}
