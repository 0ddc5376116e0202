package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals

/** Loads of heavy days: a rare model, a busy one, a burst, and what is left to one engine after all hosts were away. */
class CopyPlanTest {
    private data class Case(
        val pattern: String,
        val requestsPerSecond: Double,
        val readMs: Double,
        val answerMs: Double,
        val needed: Int,
        val worthHaving: Int,
    )

    @Test
    fun `replicas follow the work that requests are, not their number`() {
        listOf(
            Case("nobody asks: the one that there is", 0.0, 80.0, 1_000.0, 1, 1),
            Case("a rare model", 0.12, 80.0, 1_000.0, 1, 1),
            Case("a busy model of a small deployment", 3.0, 80.0, 1_000.0, 1, 2),
            Case("a burst of one kind", 7.0, 80.0, 1_000.0, 2, 3),
            Case("model shift in a large deployment", 20.0, 80.0, 1_000.0, 4, 3),
            Case("a retry storm does not take every engine", 500.0, 80.0, 1_000.0, 8, 3),
            Case("a rare model with long prompts", 0.3, 240.0, 1_000.0, 1, 1),
            Case("a busy model with long prompts", 9.0, 240.0, 1_000.0, 5, 3),
            Case("the same with most of its prompts kept", 9.0, 75.0, 1_000.0, 2, 3),
            Case("a busier model with short prompts: rare models keep their room", 25.0, 19.0, 1_000.0, 1, 3),
            Case("long answers fill the batch before prompts fill the time", 31.0, 19.0, 2_000.0, 2, 3),
            Case("beyond what helps", 500.0, 240.0, 1_000.0, 8, 3),
        ).forEach { case ->
            val load = ModelWorkload(case.requestsPerSecond, case.readMs, case.answerMs, batch = 64)
            assertEquals(case.needed, ReplicaPlan.needed(load), case.pattern)
            assertEquals(case.worthHaving, ReplicaPlan.desired(load), case.pattern)
        }
    }

    @Test
    fun `the work of requests is learned from answers, whatever it is`() {
        for (factor in listOf(0.25, 1.0, 4.0)) {
            val work = WorkloadStatistics()
            repeat(200) { work.record("m", (3_000 * factor).toLong(), (1_000 * factor).toLong()) }
            val load = work.workload("m", requestsPerSecond = 9.0, tokensReadPerMs = 40.0, batch = 64)
            assertEquals(75 * factor, load.readMs, 0.1)
            assertEquals(1_000 * factor, load.answerMs, 0.1)
        }
    }
}
