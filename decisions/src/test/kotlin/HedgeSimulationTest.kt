package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Compares the latency of requests with and without hedging in a model of targets; needs no network. */
class HedgeSimulationTest {
    @Test
    fun `hedged requests shorten the slowest answers of a lightly loaded service for few extra sends`() {
        val without = HedgeSimulation(share = 0.0, LIGHT_LOAD, SEED).run(REQUESTS)
        val hedged = HedgeSimulation(share = 0.05, LIGHT_LOAD, SEED).run(REQUESTS)
        println("slowest 1 in 100: ${without.percentileMs(99)} ms without, ${hedged.percentileMs(99)} ms with hedged requests")
        println("second sends: ${hedged.secondSends} for ${hedged.firstSends} requests")
        assertEquals(0, without.secondSends)
        assertTrue(without.percentileMs(99) >= 600, "${without.percentileMs(99)}")
        assertTrue(hedged.percentileMs(99) <= 150, "${hedged.percentileMs(99)}")
        assertTrue(hedged.secondSends in 1..REQUESTS / 20, "${hedged.secondSends}")
    }

    // Guards against extra work at the time at which a service has no capacity for it.
    @Test
    fun `a full service gets no extra sends`() {
        val full = HedgeSimulation(share = 0.2, OVERLOAD, SEED).run(REQUESTS)
        println("second sends above capacity: ${full.secondSends} for ${full.firstSends} requests")
        assertEquals(0, full.secondSends)
    }

    private companion object {
        const val SEED = 4_177L
        const val REQUESTS = 20_000
        const val LIGHT_LOAD = 100.0

        /** The targets answer at most 470 requests a second: 24 at once, each in 51 ms on average. */
        const val OVERLOAD = 700.0
    }
}
