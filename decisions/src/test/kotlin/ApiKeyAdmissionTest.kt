package org.almondjunction.decisions

import org.almondjunction.common.HostTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ApiKeyAdmissionTest {
    private val tenants = mapOf("k1" to "a", "k 2" to "b", LONGEST to "c", "k\u00e9y" to "d")

    private fun presented(vararg values: String) = PresentedKey.of(values.toList()) { tenants[it] }

    // Guards against two keys of which another component picks the other one, and against look-ups of arbitrary bytes.
    @Test
    fun `exactly one printable key of limited length is looked up`() {
        listOf(
            listOf("k1") to PresentedKey.Held("a"),
            listOf("k 2") to PresentedKey.Held("b"),
            listOf(LONGEST) to PresentedKey.Held("c"),
            listOf("k3") to PresentedKey.Unknown,
            emptyList<String>() to PresentedKey.Unusable,
            listOf("") to PresentedKey.Unusable,
            listOf("k1", "k1") to PresentedKey.Unusable,
            listOf("k1", "k3") to PresentedKey.Unusable,
            listOf("k\u00e9y") to PresentedKey.Unusable,
            listOf("k\u0001") to PresentedKey.Unusable,
            listOf(LONGEST + "x") to PresentedKey.Unusable,
        ).forEach { (values, expected) -> assertEquals(expected, presented(*values.toTypedArray()), "$values") }
    }

    private data class Case(
        val pattern: String,
        val presented: PresentedKey<String>,
        val ageMs: Long?,
        val revocationMs: Long?,
        val expected: String,
    )

    // Guards against a removed key that runs on a host without news, and against a 401 for a key that the host has not heard of yet.
    @Test
    fun `a key is accepted only with a fresh proof, and refused for good only with a young one`() {
        val held = PresentedKey.Held("a")
        val unknown = PresentedKey.Unknown
        listOf(
            Case("fresh proof", held, 3_800, 5_000, "Admitted"),
            Case("stale proof", held, 3_801, 5_000, "ProofRequired"),
            Case("a new process without a proof", held, null, 5_000, "ProofRequired"),
            Case("no limit on revocation and no proof", held, null, null, "Admitted"),
            Case("no limit on revocation and an old proof", held, 3_600_000, null, "Admitted"),
            Case("unknown key, proof of two waits", unknown, 1_400, 5_000, "Unauthorized"),
            Case("unknown key, older proof", unknown, 1_401, 5_000, "ProofRequired"),
            Case("unknown key without a proof", unknown, null, 5_000, "ProofRequired"),
            Case("unknown key, no limit on revocation, young proof", unknown, 4_000, null, "Unauthorized"),
            Case("unknown key, no limit on revocation, older proof", unknown, 4_001, null, "ProofRequired"),
            Case("unknown key, no limit on revocation, no proof", unknown, null, null, "ProofRequired"),
            Case("no usable key, whatever the proof", PresentedKey.Unusable, null, 5_000, "Unauthorized"),
        ).forEach { case ->
            val admission = ApiKeyAdmission.of(case.presented, case.ageMs, ApiKeyLimits(case.revocationMs))
            assertEquals(case.expected, admission::class.simpleName, case.pattern)
        }
    }

    // Guards against more calls to the store where no limit holds, and against a suspended host that waits for a full watch.
    @Test
    fun `the wait of a watch follows from the limit, and is short only after a suspension`() {
        assertEquals(3_000, ApiKeyLimits(null).nextWatchMs(null))
        assertEquals(3_000, ApiKeyLimits(null).nextWatchMs(60_000))
        assertEquals(700, ApiKeyLimits(5_000).nextWatchMs(800))
        assertNull(ApiKeyLimits(5_000).nextWatchMs(801))
        listOf(1L, 1_000L, 4_000L, 5_000L, 20_000L, 60_000L).forEach { limitMs ->
            val watchMs = ApiKeyLimits(limitMs).nextWatchMs(0) ?: 0
            assertTrue(watchMs in 200..maxOf(200, limitMs / 5), "limit $limitMs ms: $watchMs ms")
        }
        assertFalse(ApiKeyLimits(1_000).isFresh(1), "a limit within the margin admits nothing")
    }

    // Guards against a proof that is later than what the store has said.
    @Test
    fun `a watch proves its wait only if it waited, and otherwise the time of its request`() {
        val issued = HostTime(1_000, 50_000)
        assertEquals(issued, WatchProof.ofList(issued))
        assertEquals(HostTime(1_400, 50_400), WatchProof.ofWatch(issued, HostTime(1_400, 50_400), 400, changed = false))
        assertEquals(issued, WatchProof.ofWatch(issued, HostTime(1_400, 50_400), 400, changed = true))
        assertEquals(issued, WatchProof.ofWatch(issued, HostTime(1_399, 50_399), 400, changed = false), "answered early")
        assertEquals(issued, WatchProof.ofWatch(issued, HostTime(1_010, 99_000), 400, changed = false), "the wall clock jumped")
    }

    private companion object {
        val LONGEST = "x".repeat(PresentedKey.MAXIMUM_KEY_CHARACTERS)
    }
}
