package org.almondjunction.decisions

import org.almondjunction.decisions.StopAdmission.BUFFER
import org.almondjunction.decisions.StopAdmission.REFUSE
import org.almondjunction.decisions.StopAdmission.RELAY
import kotlin.test.Test
import kotlin.test.assertEquals

class StopAdmissionTest {
    private data class Case(
        val pattern: String,
        val request: StoppingRequest,
        val expected: StopAdmission,
    )

    // Guards against a stopping process that starts a response whose duration is unknown, and cuts it off when it exits.
    @Test
    fun `a response is relayed only if it is expected to end before the process does, a late stream only if it must`() {
        val early = StoppingRequest(arrivedMs = 1_000, likelyMs = 500, endMs = 15_000, streaming = true)
        val late = early.copy(arrivedMs = 3_000)
        listOf(
            Case("similar streams were short, before the balancer has reacted", early, RELAY),
            Case("similar streams were long", early.copy(likelyMs = 4_500), REFUSE),
            Case("no similar stream", early.copy(likelyMs = null), REFUSE),
            Case("no similar stream, and its time limit ends in time", early.copy(likelyMs = null, endMs = 6_900), RELAY),
            Case("its time limit ends before similar streams did", early.copy(likelyMs = 9_000, endMs = 6_900), RELAY),
            Case("similar streams were short, after the balancer has reacted", late, BUFFER),
            Case("similar streams were as long as the time until the final responses", late.copy(likelyMs = 3_800), REFUSE),
            Case("a late stream without similar ones", late.copy(likelyMs = null), REFUSE),
            Case("a late stream whose time limit ends in time", late.copy(endMs = 6_900), RELAY),
            Case("a late stream whose time limit is the exit", late.copy(endMs = 7_000), BUFFER),
            Case("a late plain response", late.copy(streaming = false), RELAY),
            Case("a late plain response of unknown duration", late.copy(streaming = false, likelyMs = null), REFUSE),
        ).forEach { case ->
            val stop = PlannedStop(closedMs = 2_600, finalResponseMs = 6_800, exitMs = 7_000)
            assertEquals(case.expected, StopAdmission.of(case.request, stop, nowMs = 3_000), case.pattern)
        }
    }
}
