package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals

class ForwardingDecisionTest {
    private data class Case(
        val kind: RepeatKind,
        val result: SendResult,
        val expected: ForwardingStep,
        val mayHaveRun: Boolean = false,
        val runsLeft: Int = 1,
        val refusalsLeft: Int = 3,
        val timeLeftMs: Long = 1_000,
        val budget: Boolean = true,
    )

    private val refused = SendResult.Refused()

    private val cases =
        listOf(
            Case(RepeatKind.ONCE, SendResult.Lost, ForwardingStep.AnswerUnknown),
            Case(RepeatKind.ONCE, SendResult.Failed, ForwardingStep.PassFailure),
            Case(RepeatKind.ONCE, refused, ForwardingStep.SendAgain),
            Case(RepeatKind.ONCE, refused, ForwardingStep.AnswerNotRun, refusalsLeft = 0),
            Case(RepeatKind.ONCE, refused, ForwardingStep.AnswerNotRun, budget = false),
            Case(RepeatKind.ONCE, SendResult.NotSent, ForwardingStep.SendAgain, budget = false),
            Case(RepeatKind.ONCE, SendResult.NotSent, ForwardingStep.AnswerNotRun, timeLeftMs = 0),
            Case(RepeatKind.IDEMPOTENT, SendResult.Lost, ForwardingStep.SendAgain),
            Case(RepeatKind.IDEMPOTENT, SendResult.Lost, ForwardingStep.AnswerUnknown, runsLeft = 0),
            Case(RepeatKind.IDEMPOTENT, SendResult.Lost, ForwardingStep.AnswerUnknown, budget = false),
            Case(RepeatKind.IDEMPOTENT, SendResult.Failed, ForwardingStep.SendAgain),
            Case(RepeatKind.IDEMPOTENT, SendResult.Failed, ForwardingStep.PassFailure, runsLeft = 0),
            Case(RepeatKind.IDEMPOTENT, refused, ForwardingStep.AnswerUnknown, mayHaveRun = true, refusalsLeft = 0),
            Case(RepeatKind.RESUMABLE, SendResult.Lost, ForwardingStep.SendAgain),
            Case(RepeatKind.RESUMABLE, SendResult.Lost, ForwardingStep.AnswerUnknown, timeLeftMs = 10),
        )

    @Test
    fun `each result of a send leads to the step that its kind allows`() =
        cases.forEach { case ->
            val state = ForwardingState(case.kind, case.mayHaveRun, case.runsLeft, case.refusalsLeft, case.timeLeftMs)
            assertEquals(case.expected, ForwardingDecision.after(state, case.result) { case.budget }, "$case")
        }

    @Test
    fun `a request that may have run is never said not to have run`() {
        val results = listOf(SendResult.NotSent, refused, SendResult.Lost, SendResult.Failed)
        for (kind in RepeatKind.entries) {
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
