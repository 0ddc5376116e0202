package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against loads that slow each other down until none ends within the time in which callers need it. */
class StoreLoadLimitTest {
    private data class Load(
        val takenMs: Long,
        val concurrent: Int,
        val atMs: Long = 0,
    )

    private data class Case(
        val pattern: String,
        val loads: List<Load>,
        val expected: Int,
        val askedMs: Long = 0,
    )

    private val cases =
        listOf(
            Case("no load yet", emptyList(), 2),
            Case("two loads at full speed", listOf(Load(6_500, 2)), 2),
            Case("two loads slow each other down", listOf(Load(7_600, 2)), 1),
            Case("five gateways began a load at once; the limit falls step by step", listOf(Load(7_600, 5)), 2),
            Case("the remaining two are slow as well", listOf(Load(7_600, 5), Load(7_600, 2)), 1),
            Case("a single load that is slow shows a slow store, not too many loads", listOf(Load(30_000, 1)), 2),
            Case("some minutes later it is tried again", listOf(Load(7_600, 2)), 2, askedMs = 61_000),
            Case("a load is never kept away for ever", listOf(Load(7_600, 2), Load(7_600, 2), Load(7_600, 2)), 1),
        )

    @Test
    fun `the limit follows the time that concurrent loads take`() =
        cases.forEach { case ->
            val limit = StoreLoadLimit(maximum = 2)
            case.loads.forEach { limit.record(it.takenMs, usualMs = 6_000, it.concurrent, it.atMs) }
            assertEquals(case.expected, limit.current(case.askedMs), case.pattern)
        }
}
