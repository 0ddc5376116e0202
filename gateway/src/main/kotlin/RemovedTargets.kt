package org.almondjunction.gateway

import org.almondjunction.common.TargetId

/** The last known incarnations of removed targets; the oldest are dropped beyond [maximumTargets]. */
internal class RemovedTargets(
    private val maximumTargets: Int = MAXIMUM_TARGETS,
) {
    private class Incarnation(
        val startedMs: Long,
        val sequence: Long,
    )

    private val incarnations = LinkedHashMap<TargetId, Incarnation>()

    val size: Int get() = incarnations.size

    /** Records that the target of [entry] was removed, and [entry] was its last one. */
    fun add(entry: TargetEntry) {
        incarnations.remove(entry.target)
        incarnations[entry.target] = Incarnation(entry.startedMs, entry.sequence)
        if (incarnations.size > maximumTargets) incarnations.remove(incarnations.keys.first())
    }

    /** Returns whether [entry] is no newer than the one with which its target was removed. */
    fun covers(entry: TargetEntry): Boolean {
        val last = incarnations[entry.target] ?: return false
        return if (entry.startedMs == last.startedMs) entry.sequence <= last.sequence else entry.startedMs < last.startedMs
    }

    private companion object {
        /** Several times the targets of the largest site; about 100 bytes each. */
        const val MAXIMUM_TARGETS = 4_096
    }
}
