package org.almondjunction.decisions

import org.almondjunction.common.HostTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class QuotaLeaseTest {
    /** A record of the store, and the host that a keeper on [OWN_HOST] started at [OWN_START] names to gateways after reading it. */
    private class Case(
        val pattern: String,
        val record: LeaseRecord?,
        val named: String?,
    )

    private val cases =
        listOf(
            Case("no holder", null, named = null),
            Case("a holder on another host", LeaseRecord(OTHER_HOST, incarnation = 7, term = 1, renewals = 1), named = OTHER_HOST),
            Case("another host, started together", LeaseRecord(OTHER_HOST, OWN_START, term = 1, renewals = 1), named = OTHER_HOST),
            Case("an earlier process of this host", LeaseRecord(OWN_HOST, incarnation = 7, term = 1, renewals = 1), named = null),
        )

    // Guards against tenants without service: a keeper that started in the same millisecond as the coordinator took its lease for its own.
    @Test
    fun `a keeper names the holder of the lease on another host`() {
        for (case in cases) {
            val lease = QuotaLease(OWN_HOST, OWN_START)
            assertEquals(LeaseCall.Read, lease.next(HostTime(0, 0)), case.pattern)
            val answer = case.record?.let { LeaseAnswer.Found(it, revision = 3, era = 1) } ?: LeaseAnswer.Missing(era = 1)
            lease.receive(answer, HostTime(5, 5))
            assertEquals(case.named, lease.other, case.pattern)
        }
    }

    // Guards against two coordinators: the lease of another host is not a late renewal of one's own, whenever its process started.
    @Test
    fun `a holder that reads the lease of another host is no longer the coordinator`() {
        val lease = QuotaLease(OWN_HOST, OWN_START)
        lease.next(HostTime(0, 0))
        lease.receive(LeaseAnswer.Missing(era = 1), HostTime(5, 5))
        val taken = lease.next(HostTime(2_100, 2_100)) as LeaseCall.Write
        lease.receive(LeaseAnswer.Found(taken.record, revision = 1, era = 1), HostTime(2_105, 2_105))
        assertEquals(null, lease.other)
        lease.next(HostTime(2_800, 2_800)) as LeaseCall.Write
        lease.receive(LeaseAnswer.Lost, HostTime(3_200, 3_200))
        assertEquals(LeaseCall.Read, lease.next(HostTime(3_210, 3_210)))
        val other = taken.record.copy(holder = OTHER_HOST)
        lease.receive(LeaseAnswer.Found(other, revision = 2, era = 1), HostTime(3_215, 3_215))
        assertNull(lease.heldId(HostTime(3_220, 3_220)))
        assertEquals(OTHER_HOST, lease.other)
    }

    private companion object {
        const val OWN_HOST = "10.0.0.1"
        const val OTHER_HOST = "10.0.0.2"
        const val OWN_START = 1_000L
    }
}
