package org.almondjunction.decisions

import kotlinx.serialization.Serializable

/**
 * Content of a lease object.
 *
 * @property holder identity of the process that holds the lease; empty after it was released
 * @property term increases with every change of holder
 * @property renewal increases with every renewal, so that observers see a change
 */
@Serializable
public data class Lease(
    val holder: String = "",
    val term: Long = 0,
    val renewal: Long = 0,
)

/** Action of a process for a lease. */
public sealed class LeaseAction {
    /** No action until the next check. */
    public data object Wait : LeaseAction()

    /** Write [lease] on condition that the object still has the version observed. */
    public data class Write(
        val lease: Lease,
    ) : LeaseAction()
}

/**
 * Observes a lease by the observer's own clock only: it has expired when its object did not change for [durationMs].
 *
 * The lease grants no right by itself. Every write of its holder is conditional on the version of the object that it changes.
 */
public class LeaseObserver(
    private val self: String,
    private val durationMs: Long,
) {
    private var observed: Lease? = null
    private var unchangedSinceMs = 0L

    /** Returns what to do after [current] was read at [nowMs]; null stands for no object. */
    public fun observe(
        current: Lease?,
        nowMs: Long,
    ): LeaseAction {
        if (current != observed) {
            observed = current
            unchangedSinceMs = nowMs
        }
        val lease = current ?: return LeaseAction.Write(Lease(self, term = 1))
        return when {
            lease.holder == self -> LeaseAction.Write(lease.copy(renewal = lease.renewal + 1))
            lease.holder.isEmpty() -> LeaseAction.Write(Lease(self, term = lease.term + 1))
            nowMs - unchangedSinceMs >= durationMs -> LeaseAction.Write(Lease(self, term = lease.term + 1))
            else -> LeaseAction.Wait
        }
    }
}
