package org.almondjunction.gateway

import kotlin.test.Test
import kotlin.test.assertEquals

class WaitingCallersTest {
    @Test
    fun `callers count while they wait, with a higher weight if they can be served in time`() {
        val waiting = WaitingCallers()
        waiting.add("m", objectiveMs = 1_000)
        waiting.add("m", objectiveMs = 3_000)
        waiting.add("n", objectiveMs = 3_000)
        assertEquals(2.0, waiting.weight("m", expectedMs = 900))
        assertEquals(1.25, waiting.weight("m", expectedMs = 1_100))
        waiting.remove("m", objectiveMs = 3_000)
        assertEquals(0.25, waiting.weight("m", expectedMs = 1_100))
        waiting.remove("m", objectiveMs = 1_000)
        assertEquals(0.0, waiting.weight("m", expectedMs = 900))
    }
}
