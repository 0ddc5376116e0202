package org.almondjunction.decisions

import org.almondjunction.common.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals

class TargetChoiceTest {
    private fun target(
        name: String,
        distanceMs: Double = 0.1,
        waitMs: Double = 0.0,
        workMs: Double = 100.0,
        failureShare: Double = 0.0,
        affinity: Double = 0.5,
    ) = TargetCandidate(TargetId(name), distanceMs, waitMs, workMs, failureShare, affinity)

    private data class Case(
        val pattern: String,
        val candidates: List<TargetCandidate>,
        val expected: String?,
    )

    private val cases =
        listOf(
            Case("no candidates", emptyList(), null),
            Case("affinity decides between near ties", listOf(target("a"), target("b", affinity = 0.9)), "b"),
            Case("prompt cached in another region", listOf(target("far", 12.0, workMs = 75.0), target("near", workMs = 237.0)), "far"),
            Case("own zone when all else is equal", listOf(target("far", 12.0, affinity = 0.9), target("near")), "near"),
            Case(
                "burst: a cold engine is faster than the queue",
                listOf(target("cached", waitMs = 400.0), target("cold", workMs = 237.0)),
                "cold",
            ),
            Case(
                "partly failing engine: failures count as time",
                listOf(target("failing", failureShare = 0.45), target("slow", workMs = 200.0)),
                "slow",
            ),
        )

    @Test
    fun `the target with the shortest expected time is chosen`() =
        cases.forEach { case -> assertEquals(case.expected, TargetChoice.choose(case.candidates)?.target?.value, case.pattern) }
}
