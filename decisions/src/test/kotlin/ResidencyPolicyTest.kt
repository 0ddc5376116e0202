package org.almondjunction.decisions

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ResidencyPolicyTest {
    private fun history(gapsMs: List<Long>): ArrivalHistory {
        var nowMs = 0L
        return gapsMs.fold(ArrivalHistory(lastArrivalMs = 0)) { history, gapMs ->
            nowMs += gapMs
            history.afterArrival(nowMs)
        }
    }

    @Test
    fun `every idle model is evicted after the break-even time at most`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 6_101, iterations = 1_000), Arb.int()) { seed ->
                val random = Random(seed)
                val loadMs = random.nextLong(1, 100_000)
                val weight = random.nextDouble(0.0, 500.0)
                val policy = ResidencyPolicy.LearnedGaps(weight)
                val gaps = List(random.nextInt(0, 40)) { random.nextLong(1, 100_000_000) }
                val keepMs = policy.keepMs(history(gaps), loadMs, history(gaps.shuffled(random)))
                assertTrue(keepMs in 0..ResidencyPolicy.BreakEven(weight).keepMs(null, loadMs), "kept for $keepMs ms")
                assertTrue(keepMs <= ResidencyPolicy.MAXIMUM_KEEP_MS)
            }
        }

    @Test
    fun `the observed gaps determine how long a model stays loaded`() {
        val policy = ResidencyPolicy.LearnedGaps(idleMsPerColdMs = 60.0)
        val breakEvenMs = 600_000L
        val cases =
            listOf(
                Triple("no gaps observed", emptyList(), breakEvenMs..breakEvenMs),
                Triple("short gaps", List(10) { 20_000L }, 20_000L..70_000L),
                Triple("long gaps", List(10) { 50_000_000L }, 0L..0L),
                Triple("visits between long gaps", List(30) { if (it % 6 == 5) 50_000_000L else 30_000L }, 30_000L..140_000L),
            )
        cases.forEach { (name, gapsMs, expected) ->
            val keepMs = policy.keepMs(history(gapsMs), loadMs = 10_000)
            assertTrue(keepMs in expected, "$name: $keepMs ms is not in $expected")
        }
    }

    @Test
    fun `a model without gaps of its own uses those of all models`() {
        val pool = history(List(20) { 20_000L })
        val own = ArrivalHistory(lastArrivalMs = 0)
        assertEquals(600_000L, ResidencyPolicy.LearnedGaps(60.0).keepMs(own, loadMs = 10_000))
        assertTrue(ResidencyPolicy.LearnedGaps(60.0).keepMs(own, loadMs = 10_000, pool) < 70_000)
    }
}
