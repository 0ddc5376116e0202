package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class StoreRecoveryTest {
    private class Case(
        val name: String,
        val failuresMs: List<Long>,
        val answersMs: List<Long>,
        val keptUntilMs: List<Pair<Long, Long?>>,
    )

    @Test
    fun `entries that are missing after a failure are kept until one moment`() {
        listOf(
            Case("no failure", emptyList(), listOf(0), listOf(0L to null, 5_000L to null)),
            Case("one failure", listOf(100), listOf(0, 300), listOf(300L to 2_300, 1_000L to 2_300, 2_299L to 2_300, 2_300L to null)),
            Case("several failures", listOf(100, 900), listOf(0, 1_100), listOf(1_100L to 3_100, 3_100L to null)),
            Case("two outages", listOf(100, 900), listOf(0, 300, 1_100), listOf(2_400L to 3_100, 3_100L to null)),
        ).forEach { case ->
            val recovery = StoreRecovery(RECOVERY_MS)
            val calls = case.failuresMs.map { it to false } + case.answersMs.map { it to true }
            calls.sortedBy { it.first }.forEach { (atMs, answered) ->
                if (answered) recovery.recordAnswer(atMs) else recovery.recordFailure()
            }
            for ((readMs, expectedMs) in case.keptUntilMs) {
                assertEquals(expectedMs, recovery.keepUntilMs(readMs), "${case.name}, read at $readMs")
            }
        }
    }

    // Guards against requests at a target that has left: its removal is read late after a failed call, and is kept for some time besides.
    @Test
    fun `a removal that is read late is not kept longer than its target serves`() {
        for (removedMs in 0L..6_000 step 50) {
            for (otherChangeMs in removedMs - READING_DELAY_MS..removedMs step 50) {
                val recovery = StoreRecovery(RECOVERY_MS)
                recovery.recordFailure()
                recovery.recordAnswer(RECONNECTED_MS)
                // The next call after a change waits, so that it returns further changes together.
                val readMs = maxOf(otherChangeMs + READING_DELAY_MS, RECONNECTED_MS, removedMs)
                val usedUntilMs = recovery.keepUntilMs(readMs) ?: readMs
                val allowedMs = maxOf(removedMs + DRAIN_MS, CONTACT_MS)
                assertTrue(usedUntilMs <= allowedMs, "removed at $removedMs, read at $readMs: used until $usedUntilMs, not $allowedMs")
            }
        }
    }

    private companion object {
        const val RECOVERY_MS = 2_000L

        /** A connection that was reset at 0 is replaced, and the store answers on it. */
        const val RECONNECTED_MS = 204L
        const val READING_DELAY_MS = 1_000L

        /** Time for which a target serves after its removal, and after a failed call within which requests at it are excused. */
        const val DRAIN_MS = 2_500L
        const val CONTACT_MS = 4_000L
    }
}
