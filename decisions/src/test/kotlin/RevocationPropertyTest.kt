package org.almondjunction.decisions

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class RevocationPropertyTest {
    // Guards against a removed key that runs on a host that was cut off, suspended or restarted, or whose clocks jumped.
    @Test
    fun `no key is admitted later than the limit after its acknowledged removal`() =
        runBlocking<Unit> {
            var admitted = 0
            var admittedWhileCut = 0
            var refused = 0
            checkAll(PropTestConfig(seed = 5_000, iterations = 300), Arb.long()) { seed ->
                val simulation = RevocationSimulation(Random(seed), REVOCATION_MS)
                simulation.run(durationMs = 120_000)
                admitted += simulation.admitted
                admittedWhileCut += simulation.admittedWhileCut
                refused += simulation.refusedAsStale
            }
            assertTrue(admitted > refused, "$admitted admitted, $refused refused")
            assertTrue(admittedWhileCut > 0 && refused > 0, "$admittedWhileCut admitted without the store, $refused refused")
        }

    // Guards against a host that stops serving callers too soon after it lost the store, whatever time the last answer came.
    @Test
    fun `a host that lost the store serves for the promised share of the limit`() {
        listOf(4_500L, 5_000L, 8_000L, 20_000L).forEach { limitMs ->
            val limits = ApiKeyLimits(limitMs)
            val oldestProofMs = limits.nextWatchMs(0)!! + ROUND_TRIP_MS
            assertTrue(limits.isFresh(oldestProofMs + limitMs * 6 / 10), "limit $limitMs ms")
        }
    }

    private companion object {
        const val REVOCATION_MS = 5_000L

        /** Between the most distant regions, one way takes 12 ms. */
        const val ROUND_TRIP_MS = 50L
    }
}
