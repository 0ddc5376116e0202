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
                val world = RightsWorld(Random(seed))
                world.run(steps = 600)
                assertEquals(0, world.settleAndCountSurplus(), "seed $seed")
                loads += world.loadsSeen
            }
            assertTrue(loads > 1_000, "Only $loads loads were ordered; the schedules cover too little.")
        }
}
