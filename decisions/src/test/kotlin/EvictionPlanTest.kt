package org.almondjunction.decisions

import org.almondjunction.common.ModelId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Evictions under high load: shifting demand, rare models in use at the same time, several replicas of busy models. */
class EvictionPlanTest {
    private fun held(
        name: String,
        memoryMb: Long = 70_000,
        requestsPerSecond: Double = 0.05,
        idleMs: Long = 20_000,
        inFlight: Int = 0,
        otherReplicas: Int = 0,
        reloadMs: Long = 800,
    ) = EvictionCandidate(ModelId(name), memoryMb, requestsPerSecond, idleMs, inFlight, otherReplicas, reloadMs)

    private data class Case(
        val pattern: String,
        val held: List<EvictionCandidate>,
        val neededMb: Long,
        val expected: List<String>?,
    )

    private val cases =
        listOf(
            Case("enough free memory", listOf(held("a")), 0, emptyList()),
            Case("of two equal models, the one in use stays", listOf(held("a", inFlight = 1), held("b")), 60_000, listOf("b")),
            Case("of two equal models, the one just loaded stays", listOf(held("a", idleMs = 100), held("b")), 60_000, listOf("b")),
            Case(
                "rare models at once: a rare one in use is evicted before a busy one",
                listOf(held("busy", requestsPerSecond = 3.0, idleMs = 750), held("rare", inFlight = 1, idleMs = 0)),
                60_000,
                listOf("rare"),
            ),
            Case(
                "rare models at once: all are in use, the least requested is evicted",
                listOf(held("a", requestsPerSecond = 0.5, inFlight = 2), held("b", inFlight = 1)),
                60_000,
                listOf("b"),
            ),
            Case(
                "model shift: the model without recent requests is evicted",
                listOf(held("new", requestsPerSecond = 4.0), held("old")),
                60_000,
                listOf("old"),
            ),
            Case("a further replica before a last one", listOf(held("last"), held("copy", otherReplicas = 1)), 60_000, listOf("copy")),
            Case(
                "before the first requests: a model with other replicas counts as busy and stays",
                listOf(held("busy", requestsPerSecond = 0.0, otherReplicas = 1), held("rare", requestsPerSecond = 0.0)),
                60_000,
                listOf("rare"),
            ),
            Case("a model that its host can reload first", listOf(held("remote", reloadMs = 6_000), held("disk")), 60_000, listOf("disk")),
            Case("two small ones for a large one", listOf(held("s1", 34_300), held("s2", 34_300)), 60_000, listOf("s1", "s2")),
            Case("one of the right size instead of two", listOf(held("s1", 34_300), held("s2", 34_300), held("b")), 60_000, listOf("b")),
            Case("together too small", listOf(held("s1", 34_300)), 60_000, null),
        )

    @Test
    fun `a replica of a busy model is evicted before a rare model when its other replicas serve its callers`() {
        val surplus = held("busy", requestsPerSecond = 15.0, idleMs = 800, otherReplicas = 1).copy(surplus = true)
        val choice = EvictionPlan.choose(listOf(surplus, held("rare", requestsPerSecond = 0.5, idleMs = 800)), 60_000)
        assertEquals(listOf("busy"), choice?.models?.map { it.value })
    }

    @Test
    fun `many waiting callers do not wait for long answers of a rare model`() {
        val fading = held("fading", requestsPerSecond = 2.0)
        val answering = held("rare", requestsPerSecond = 0.3, inFlight = 6).copy(answerMs = 4_000)
        val choices =
            listOf(
                1.0,
                30.0,
            ).map {
                EvictionPlan
                    .choose(listOf(fading, answering), 60_000, waitingCallers = it)
                    ?.models
                    ?.single()
                    ?.value
            }
        assertEquals(listOf("rare", "fading"), choices)
    }

    @Test
    fun `an eviction waits for a model in use, but not for an unused one`() {
        assertEquals(0, EvictionPlan.waitMs(held("a")))
        assertTrue(EvictionPlan.waitMs(held("a", inFlight = 1)) > 0)
        assertTrue(EvictionPlan.waitMs(held("a", idleMs = 100)) > 0)
    }

    @Test
    fun `the evicted models have the lowest cost for callers`() =
        cases.forEach { case ->
            assertEquals(case.expected, EvictionPlan.choose(case.held, case.neededMb)?.models?.map { it.value }, case.pattern)
        }
}
