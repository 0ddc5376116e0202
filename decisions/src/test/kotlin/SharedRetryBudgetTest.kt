package org.almondjunction.decisions

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SharedRetryBudgetTest {
    @Test
    fun `retries of all gateways together stay within the ratio and the common extra in every window`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 771, iterations = 200), Arb.long()) { seed ->
                val random = Random(seed)
                val count = random.nextInt(1, 8)
                val gateways = List(count) { SharedRetryBudget(RetryLimits(ratio = 0.2, extra = 58.0, windowMs = 10_000)) }
                val firstSendsMs = mutableListOf<Long>()
                val retriesMs = mutableListOf<Long>()
                var nowMs = 0L
                repeat(600) {
                    nowMs += random.nextLong(0, 120)
                    val gateway = gateways.random(random)
                    if (random.nextInt(3) == 0) {
                        gateway.recordFirstSend(nowMs)
                        firstSendsMs += nowMs
                    } else if (gateway.tryRetry(nowMs, count)) {
                        retriesMs += nowMs
                    }
                    val sent = firstSendsMs.count { it > nowMs - 10_000 }
                    val retried = retriesMs.count { it > nowMs - 10_000 }
                    assertTrue(retried <= 0.2 * sent + 58, "seed $seed: $retried retries for $sent requests")
                }
            }
        }

    @Test
    fun `a spent budget is available again after its window`() {
        val budget = SharedRetryBudget(RetryLimits(ratio = 0.0, extra = 10.0, windowMs = 1_000))
        val granted = (0 until 20).count { budget.tryRetry(nowMs = 0, gateways = 1) }
        assertEquals(6, granted)
        assertEquals(false, budget.tryRetry(nowMs = 999, gateways = 1))
        assertEquals(true, budget.tryRetry(nowMs = 1_000, gateways = 1))
    }
}
