package org.almondjunction.decisions

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class HedgePolicyTest {
    private data class Case(
        val load: String,
        val situation: HedgeSituation,
        val expected: HedgeDecision.Reason?,
        val firstSends: Int = 100,
        val share: Double = 0.05,
        val budget: Boolean = true,
    )

    /** A slow answer on an idle service, for which a second send is allowed. */
    private val idle =
        HedgeSituation(runsLeft = 1, timeLeftMs = 2_000, suspect = false, elapsedMs = 120, expectedMs = 20.0, targets = 6, freeTargets = 5)

    private fun policy(
        share: Double,
        firstSends: Int,
    ) = HedgePolicy(share).also { policy -> repeat(firstSends) { policy.recordFirstSend(nowMs = 0) } }

    @Test
    fun `a second send begins only if every condition holds`() =
        listOf(
            Case("idle service, one slow target", idle, null),
            Case("half of the targets are free", idle.copy(freeTargets = 3), null),
            Case("less than half of the targets are free", idle.copy(freeTargets = 2), HedgeDecision.Reason.PRESSURE),
            Case("full service", idle.copy(freeTargets = 0, expectedMs = null), HedgeDecision.Reason.PRESSURE),
            Case("only the slow target holds the model", idle.copy(expectedMs = null), HedgeDecision.Reason.NO_FREE_TARGET),
            Case("a long prompt that another target processes no sooner", idle.copy(expectedMs = 120.0), HedgeDecision.Reason.NOT_SOONER),
            Case("a route with one target", idle.copy(runsLeft = 0), HedgeDecision.Reason.MAXIMUM_TARGETS),
            Case("a prompt part that may crash targets", idle.copy(suspect = true), HedgeDecision.Reason.SUSPECT),
            Case("the caller leaves before an answer", idle.copy(timeLeftMs = 39), HedgeDecision.Reason.TIME_LEFT),
            Case(
                "the caller leaves before the expected answer",
                idle.copy(timeLeftMs = 80, expectedMs = 90.0),
                HedgeDecision.Reason.TIME_LEFT,
            ),
            Case("few requests", idle, HedgeDecision.Reason.LIMIT, firstSends = 19),
            Case("just enough requests", idle, null, firstSends = 20),
            Case("share 0", idle, HedgeDecision.Reason.LIMIT, share = 0.0),
            Case("retries have spent the common budget", idle, HedgeDecision.Reason.RETRY_BUDGET, budget = false),
        ).forEach { case ->
            val decision = policy(case.share, case.firstSends).decide(case.situation, nowMs = 1) { case.budget }
            assertEquals(case.expected?.let { HedgeDecision.Withhold(it) } ?: HedgeDecision.Send, decision, case.load)
        }

    // Guards against a withheld second send that uses up what others may need.
    @Test
    fun `a second send that is withheld takes nothing from the share and nothing from the retry budget`() {
        val policy = policy(share = 0.05, firstSends = 20)
        var retries = 0
        policy.decide(idle.copy(freeTargets = 0), nowMs = 1) { ++retries > 0 }
        policy.decide(idle, nowMs = 1) { false }
        assertEquals(HedgeDecision.Send, policy.decide(idle, nowMs = 1) { ++retries > 0 })
        assertEquals(1, retries)
        assertEquals(HedgeDecision.Withhold(HedgeDecision.Reason.LIMIT), policy.decide(idle, nowMs = 1) { ++retries > 0 })
        assertEquals(1, retries)
    }

    private data class Delay(
        val durations: String,
        val samplesMs: List<Long>,
        val expectedMs: Long?,
    )

    @Test
    fun `a send is slow after the 95th percentile of the recent durations of its route`() {
        listOf(
            Delay("too few samples", List(19) { 40L }, null),
            Delay("one slow answer in 20", List(19) { 40L } + 600L, 40),
            Delay("two slow answers in 20", List(18) { 40L } + List(2) { 600L }, 600),
            Delay("old samples are dropped", List(50) { 9_000L } + List(100) { 40L }, 40),
            Delay("shorter than the error of a timer", List(20) { 1L }, 10),
        ).forEach { case ->
            val policy = HedgePolicy(0.05)
            case.samplesMs.forEach { policy.recordDuration("route", it) }
            assertEquals(case.expectedMs, policy.delayMs("route"), case.durations)
            assertNull(policy.delayMs("other route"), case.durations)
        }
    }

    @Test
    fun `second sends never exceed the share of the first sends of the same window, and none is sent under pressure`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 5512, iterations = 200), Arb.long()) { seed ->
                val random = Random(seed)
                val share = listOf(0.0, 0.02, 0.05, 0.2).random(random)
                val meanGapMs = random.nextLong(1, 200)
                val policy = HedgePolicy(share)
                val firstSendsMs = mutableListOf<Long>()
                val secondSendsMs = mutableListOf<Long>()
                var nowMs = 0L
                repeat(1_500) {
                    nowMs += if (random.nextInt(400) == 0) random.nextLong(15_000) else random.nextLong(2 * meanGapMs)
                    if (random.nextBoolean()) {
                        policy.recordFirstSend(nowMs)
                        firstSendsMs += nowMs
                    } else {
                        val free = random.nextInt(7)
                        val decision = policy.decide(idle.copy(freeTargets = free), nowMs) { random.nextInt(5) > 0 }
                        if (decision == HedgeDecision.Send) {
                            secondSendsMs += nowMs
                            assertTrue(free >= 3, "seed $seed: sent with $free free targets of 6")
                            val first = firstSendsMs.count { it > nowMs - HedgePolicy.WINDOW_MS }
                            val second = secondSendsMs.count { it > nowMs - HedgePolicy.WINDOW_MS }
                            assertTrue(second <= share * first, "seed $seed: $second second sends for $first first sends")
                        }
                    }
                }
                if (share == 0.0) assertEquals(0, secondSendsMs.size, "seed $seed")
            }
        }
}
