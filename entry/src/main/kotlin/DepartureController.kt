package org.almondjunction.entry

import org.almondjunction.common.Clock
import org.almondjunction.common.HostId
import org.almondjunction.decisions.ClusterView
import org.almondjunction.protocol.Message

/**
 * Determines which removed hosts provably no longer use any of their rights.
 *
 * A host counts as departed only if the platform has not listed it for the settling time and every entry host replies that it has had no
 * contact with the agents on it for that time. While any entry host does not reply, no further host counts as departed.
 *
 * @param lastContacts queries every member; returns null when any of them did not answer
 */
internal class DepartureController(
    private val settlingMs: Long,
    private val clock: Clock,
    private val lastContacts: suspend (List<HostId>) -> List<Message.LastContactReply>?,
) {
    private val missingSinceMs = mutableMapOf<HostId, Long>()
    private var lastQueryMs: Long? = null
    private var departed = emptySet<HostId>()

    /** Returns the departed hosts; queries the entry hosts at most once per [QUERY_INTERVAL_MS]. */
    suspend fun departedHosts(view: ClusterView): Set<HostId> {
        val nowMs = clock.nowMs()
        val missing = missingHosts(view)
        missingSinceMs.keys.retainAll(missing)
        missing.forEach { missingSinceMs.putIfAbsent(it, nowMs) }
        val due = missingSinceMs.filterValues { nowMs - it >= settlingMs }.keys.toSet()
        departed = departed.intersect(due)
        if (due.isEmpty() || lastQueryMs?.let { nowMs - it < QUERY_INTERVAL_MS } == true) return departed
        lastQueryMs = nowMs
        val replies = lastContacts(due.toList()) ?: return departed
        departed =
            due
                .filter { host ->
                    replies.all { it.upMs >= settlingMs && (it.agesMs[host] ?: Long.MAX_VALUE) >= settlingMs }
                }.toSet()
        return departed
    }

    private fun missingHosts(view: ClusterView): Set<HostId> {
        val holders = view.rightsByTarget.keys
        return view.hostOfLostTarget
            .filterKeys { it in holders }
            .values
            .toSet()
    }

    private companion object {
        const val QUERY_INTERVAL_MS = 5_000L
    }
}
