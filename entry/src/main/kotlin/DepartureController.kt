package org.almondjunction.entry

import org.almondjunction.common.Clock
import org.almondjunction.common.HostId
import org.almondjunction.decisions.ClusterView
import org.almondjunction.protocol.Message

/**
 * Finds hosts of which it is proven that they hold nothing any more.
 *
 * A host counts as gone only if the platform no longer lists it, and every entry host answers that it has not heard from it for the
 * settling time. One entry host that cannot be asked is enough to withhold the proof.
 *
 * @param lastHeard asks every member; null when any of them did not answer
 */
internal class DepartureController(
    private val settlingMs: Long,
    private val clock: Clock,
    private val lastHeard: suspend (List<HostId>) -> List<Message.LastHeardReply>?,
) {
    private val missingSinceMs = mutableMapOf<HostId, Long>()
    private var lastAskedMs: Long? = null
    private var proven = emptySet<HostId>()

    suspend fun provenGone(view: ClusterView): Set<HostId> {
        val nowMs = clock.nowMs()
        val missing = missingHosts(view)
        missingSinceMs.keys.retainAll(missing)
        missing.forEach { missingSinceMs.putIfAbsent(it, nowMs) }
        val due = missingSinceMs.filterValues { nowMs - it >= settlingMs }.keys.toSet()
        proven = proven.intersect(due)
        if (due.isEmpty() || lastAskedMs?.let { nowMs - it < ASK_INTERVAL_MS } == true) return proven
        lastAskedMs = nowMs
        val replies = lastHeard(due.toList()) ?: return proven
        proven =
            due
                .filter { host ->
                    replies.all { it.upMs >= settlingMs && (it.agesMs[host] ?: Long.MAX_VALUE) >= settlingMs }
                }.toSet()
        return proven
    }

    private fun missingHosts(view: ClusterView): Set<HostId> {
        val holders = view.rightsByTarget.keys
        return view.hostOfLostTarget
            .filterKeys { it in holders }
            .values
            .toSet()
    }

    private companion object {
        const val ASK_INTERVAL_MS = 5_000L
    }
}
