package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals

class ForwardingDecisionTest {
    private data class Case(
        val kind: RetrySafety,
        val result: SendResult,
        val expected: ForwardingStep,
        val mayHaveRun: Boolean = false,
        val runsLeft: Int = 1,
        val refusalsLeft: Int = 3,
        val timeLeftMs: Long = 1_000,
        val budget: Boolean = true,
    )

    private val refused = SendResult.Refused()
    private val failed = SendResult.Failed(status = 500)

    /** Failures whose status would state that the request has not run. */
    private val failedAsRefusal = listOf(408, 421, 429, 503).map { SendResult.Failed(it) }

    private val cases =
        listOf(
            Case(RetrySafety.ONCE, SendResult.Lost, ForwardingStep.AnswerUnknown),
            Case(RetrySafety.ONCE, failed, ForwardingStep.RelayFailure),
            Case(RetrySafety.ONCE, refused, ForwardingStep.Retry),
            Case(RetrySafety.ONCE, refused, ForwardingStep.AnswerNotRun, refusalsLeft = 0),
            Case(RetrySafety.ONCE, refused, ForwardingStep.AnswerNotRun, budget = false),
            Case(RetrySafety.ONCE, SendResult.NotSent, ForwardingStep.Retry, budget = false),
            Case(RetrySafety.ONCE, SendResult.NotSent, ForwardingStep.AnswerNotRun, timeLeftMs = 0),
            Case(RetrySafety.IDEMPOTENT, SendResult.Lost, ForwardingStep.Retry),
            Case(RetrySafety.IDEMPOTENT, SendResult.Lost, ForwardingStep.AnswerUnknown, runsLeft = 0),
            Case(RetrySafety.IDEMPOTENT, SendResult.Lost, ForwardingStep.AnswerUnknown, budget = false),
            Case(RetrySafety.IDEMPOTENT, failed, ForwardingStep.Retry),
            Case(RetrySafety.IDEMPOTENT, failed, ForwardingStep.RelayFailure, runsLeft = 0),
            Case(RetrySafety.IDEMPOTENT, refused, ForwardingStep.AnswerUnknown, mayHaveRun = true, refusalsLeft = 0),
            Case(RetrySafety.RESUMABLE, SendResult.Lost, ForwardingStep.Retry),
            Case(RetrySafety.RESUMABLE, SendResult.Lost, ForwardingStep.AnswerUnknown, timeLeftMs = 10),
        ) +
            failedAsRefusal.flatMap {
                listOf(
                    Case(RetrySafety.ONCE, it, ForwardingStep.AnswerUnknown),
                    Case(RetrySafety.IDEMPOTENT, it, ForwardingStep.Retry),
                    Case(RetrySafety.IDEMPOTENT, it, ForwardingStep.AnswerUnknown, budget = false),
                    Case(RetrySafety.RESUMABLE, it, ForwardingStep.AnswerUnknown, runsLeft = 0),
                )
            }

    @Test
    fun `each result of a send leads to the step that the kind of request allows`() =
        cases.forEach { case ->
            val state = ForwardingState(case.kind, case.mayHaveRun, case.runsLeft, case.refusalsLeft, case.timeLeftMs)
            assertEquals(case.expected, ForwardingDecision.after(state, case.result) { case.budget }, "$case")
        }

    // Guards against a retry, or an error response, while the other send of a hedged request may still answer.
    @Test
    fun `no result is final while another send of the request is in progress`() =
        cases.forEach { case ->
            val state = ForwardingState(case.kind, case.mayHaveRun, case.runsLeft, case.refusalsLeft, case.timeLeftMs, otherRuns = true)
            val step = ForwardingDecision.after(state, case.result) { error("$case took a retry from the budget") }
            assertEquals(ForwardingStep.AwaitOther, step, "$case")
        }

    @Test
    fun `a request that may have run is never reported as not run`() {
        val results = listOf(SendResult.NotSent, refused, SendResult.Lost, failed) + failedAsRefusal
        for (kind in RetrySafety.entries) {
            for (result in results) {
                for (runsLeft in 0..2) {
                    for (budget in listOf(true, false)) {
                        val state = ForwardingState(kind, mayHaveRun = true, runsLeft, refusalsLeft = runsLeft, timeLeftMs = 1_000)
                        val step = ForwardingDecision.after(state, result) { budget }
                        assertEquals(false, step == ForwardingStep.AnswerNotRun, "$kind $result $runsLeft $budget")
                    }
                }
            }
        }
    }
}
