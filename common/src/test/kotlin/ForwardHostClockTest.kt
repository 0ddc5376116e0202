package org.almondjunction.common

import kotlin.test.Test
import kotlin.test.assertEquals

class ForwardHostClockTest {
    // Guards against a suspension that no clock shows, since the wall clock had been set back before it.
    @Test
    fun `a backward jump of the wall clock is replaced by monotonic time, and a later suspension still counts`() {
        var time = HostTime(1_000, 500_000)
        val clock = ForwardHostClock { time }
        val start = clock.now()
        time = HostTime(1_100, 440_100)
        assertEquals(100, start.longestMsUntil(clock.now()), "set back by a minute")
        time = HostTime(1_100, 449_100)
        assertEquals(9_100, start.longestMsUntil(clock.now()), "suspended for 9 s without monotonic time")
        time = HostTime(1_200, 509_200)
        assertEquals(69_200, start.longestMsUntil(clock.now()), "a forward jump makes it look longer")
    }
}
