package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals

/** Workloads under high load: a rare model, a busy one, a burst, and the load on one engine after an outage of all hosts. */
class ReplicaPlanTest {
    private data class Case(
        val pattern: String,
        val requestsPerSecond: Double,
        val prefillMs: Double,
        val answerMs: Double,
        val needed: Int,
        val desired: Int,
    )

    @Test
    fun `the number of replicas follows the work of the requests, not their number`() {
        listOf(
            Case("no requests: one replica", 0.0, 80.0, 1_000.0, 1, 1),
            Case("a rare model", 0.12, 80.0, 1_000.0, 1, 1),
            Case("a busy model of a small deployment", 3.0, 80.0, 1_000.0, 1, 2),
            Case("a burst for one model", 7.0, 80.0, 1_000.0, 2, 3),
            Case("model shift in a large deployment", 20.0, 80.0, 1_000.0, 4, 3),
            Case("a retry storm does not take every engine", 500.0, 80.0, 1_000.0, 8, 3),
            Case("a rare model with long prompts", 0.3, 240.0, 1_000.0, 1, 1),
            Case("a busy model with long prompts", 9.0, 240.0, 1_000.0, 5, 3),
            Case("the same with most of its prompts cached", 9.0, 75.0, 1_000.0, 2, 3),
            Case("a busier model with short prompts: rare models stay loaded", 25.0, 19.0, 1_000.0, 1, 3),
            Case("long answers fill the batch before prompts take the engine time", 31.0, 19.0, 2_000.0, 2, 3),
            Case("beyond the maximum", 500.0, 240.0, 1_000.0, 8, 3),
        ).forEach { case ->
            val workload = ModelWorkload(case.requestsPerSecond, case.prefillMs, case.answerMs, batchSize = 64)
            assertEquals(case.needed, ReplicaPlan.needed(workload), case.pattern)
            assertEquals(case.desired, ReplicaPlan.desired(workload), case.pattern)
        }
    }

    @Test
    fun `the work of requests is estimated from answers`() {
        for (factor in listOf(0.25, 1.0, 4.0)) {
            val statistics = WorkloadStatistics()
            repeat(200) { statistics.record("m", (3_000 * factor).toLong(), (1_000 * factor).toLong()) }
            val workload = statistics.workload("m", requestsPerSecond = 9.0, prefillTokensPerMs = 40.0, batchSize = 64)
            assertEquals(75 * factor, workload.prefillMs, 0.1)
            assertEquals(1_000 * factor, workload.answerMs, 0.1)
        }
    }
}
