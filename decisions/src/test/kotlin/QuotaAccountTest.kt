package org.almondjunction.decisions

import org.almondjunction.common.HostTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class QuotaAccountTest {
    private val account = QuotaAccount("t", QuotaBounds(10.0, 10.0, 100.0), version = 1)
    private val start = HostTime(0, 0)

    private fun grant(units: Long) = account.receive(QuotaGrant("t", units, batch = 1, validityMs = 2_000), lease = 1, start, start)

    // Guards against units that are lost with callers which disconnect while they wait, or after they were served.
    @Test
    fun `a request that ends gives back what it took, and its place`() {
        val first = assertNotNull(account.request(4, 3_000, start))
        val second = assertNotNull(account.request(3, 3_000, start))
        grant(3)
        assertNull(first.charge)
        assertNull(second.charge)
        assertEquals(listOf(second), account.cancel(first, start))
        assertEquals(0, account.available(start))
        account.cancel(second, start)
        assertEquals(3, account.available(start))
    }

    // Guards against units that a host spends after it was suspended, when its monotonic clock stood still.
    @Test
    fun `a grant ends by the clock that advanced further`() {
        grant(5)
        assertEquals(5, account.available(HostTime(1_999, 1_999)))
        assertEquals(0, account.available(HostTime(1, 2_000)))
    }

    // Guards against units of a finished grant that come to life again when a charge is put back.
    @Test
    fun `a charge that is put back after its validity is lost`() {
        grant(5)
        val charge = assertNotNull(assertNotNull(account.request(5, 3_000, start)).charge)
        account.refund(charge, HostTime(2_000, 2_000))
        assertEquals(0, account.available(HostTime(2_000, 2_000)))
    }

    // Guards against grants under a higher limit that are spent after it was lowered.
    @Test
    fun `grants are given up when the limits change`() {
        grant(5)
        account.update(QuotaBounds(1.0, 1.0, 10.0), changedVersion = 2)
        assertEquals(0, account.available(start))
    }
}
