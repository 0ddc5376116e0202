package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class QuotaLedgerTest {
    private val bounds = QuotaBounds(ratePerSecond = 100.0, burst = 100.0, tolerance = 100.0)
    private val ledger = QuotaLedger(lease = 7)

    private fun ask(
        nowMs: Long,
        vararg costs: Long,
        gateway: String = "g",
        ahead: Long = 0,
        returned: List<ReturnedUnits> = emptyList(),
        limits: QuotaBounds = bounds,
        version: Long = 1,
    ) = checkNotNull(ledger.answer(gateway, QuotaWant("t", version, limits, costs.toList(), ahead, returned), nowMs))

    /** Lets the bucket fill up. */
    private fun fill(): Long = 10_000L.also { listOf(0L, it).forEach { nowMs -> ask(nowMs) } }

    // Guards against a coordinator that grants again what its predecessor has granted in the same window.
    @Test
    fun `a new bucket grants nothing and then no more than its rate yields`() {
        assertEquals(0, ask(0, 1).units)
        assertEquals(0, ask(100, 40).units)
        assertEquals(20, ask(200, 20, 20).units)
    }

    // Guards against small requests that always find the units which a large one waits for.
    @Test
    fun `a gateway that waits for a large request comes before the others`() {
        val nowMs = fill()
        assertEquals(100, ask(nowMs, 100).units)
        assertEquals(0, ask(nowMs, 60, gateway = "large").units)
        assertEquals(0, ask(nowMs + 150, 1, gateway = "small").units)
        assertEquals(60, ask(nowMs + 250, 60, gateway = "large").units)
    }

    // Guards against one request that holds up the whole tenant.
    @Test
    fun `a request beyond burst and debt holds up no one`() {
        val nowMs = fill()
        assertEquals(0, ask(nowMs, 141, gateway = "large").units)
        assertEquals(1, ask(nowMs, 1, gateway = "small").units)
    }

    // Guards against a gateway that empties the bucket for units that it may not need.
    @Test
    fun `units in advance are at most a quarter of what is there`() {
        val nowMs = fill()
        assertEquals(25, ask(nowMs, ahead = 1_000).units)
    }

    // Guards against units that are counted twice: in a bucket, and at gateways that may still spend them.
    @Test
    fun `returned units count only under their lease and while they are valid`() {
        val nowMs = fill()
        val grant = ask(nowMs, 100)
        assertEquals(0, ask(nowMs, 100, returned = listOf(ReturnedUnits(lease = 8, grant.batch, 100))).units)
        assertEquals(0, ask(nowMs, 100, returned = listOf(ReturnedUnits(lease = 7, grant.batch - 1, 100))).units)
        assertEquals(100, ask(nowMs, 100, returned = listOf(ReturnedUnits(lease = 7, grant.batch, 999))).units)
    }

    // Guards against a bucket and grants that together exceed the burst and what the rate yields within a validity.
    @Test
    fun `units that gateways still hold count against the capacity`() {
        val nowMs = fill()
        assertEquals(300, bounds.validityMs)
        ask(nowMs, 100)
        val kept = (1..2).map { ask(nowMs + it * 90, 20).units }
        assertTrue(kept.sum() <= 30, "$kept")
    }

    // Guards against a gateway with an old configuration that raises a limit again.
    @Test
    fun `limits of an older version are ignored`() {
        val nowMs = fill()
        val lowered = bounds.copy(ratePerSecond = 1.0, burst = 1.0, tolerance = 0.5)
        ask(nowMs, limits = lowered, version = 3)
        assertEquals(0, ask(nowMs, 30, limits = bounds, version = 2).units)
        assertEquals(1, ask(nowMs + 2_000, 1, limits = bounds, version = 2).units)
    }

    // Guards against limits that are no usable numbers, as a broken peer may send.
    @Test
    fun `unusable limits and costs are not answered`() {
        assertNull(ledger.answer("g", QuotaWant("t", 1, bounds.copy(ratePerSecond = 0.0)), 0))
        assertNull(ledger.answer("g", QuotaWant("t", 1, bounds.copy(burst = Double.NaN)), 0))
        assertNull(ledger.answer("g", QuotaWant("t", 1, bounds, costs = listOf(-5)), 0))
    }
}
