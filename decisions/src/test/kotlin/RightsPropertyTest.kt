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

class RightsPropertyTest {
    @Test
    fun `replicas never exist without a right or beyond capacity under kills, pauses, lost replies and concurrent tickets`() =
        runBlocking<Unit> {
            var loads = 0
            checkAll(PropTestConfig(seed = 4_201, iterations = 400), Arb.long()) { seed ->
                val simulation = RightsSimulation(Random(seed))
                simulation.run(steps = 600)
                assertEquals(0, simulation.settleAndCountSurplus(), "seed $seed")
                loads += simulation.loadsSeen
            }
            assertTrue(loads > 1_000, "Only $loads loads were ordered; the schedules cover too little.")
        }
}
