package org.almondjunction.decisions

import org.almondjunction.common.HostTime

/** Times up to which an answer of the store proves that its reader knows all changes. */
public object WatchProof {
    /** The time of a list that was requested at [issued]: the store may have read it then at the earliest. */
    public fun ofList(issued: HostTime): HostTime = issued

    /**
     * The time of a watch with a wait of [waitMs] that was requested at [issued] and answered at [answered].
     *
     * A watch without a change proves its full wait, but only if that has passed; a store may answer early. The monotonic clock never
     * overstates the elapsed time.
     */
    public fun ofWatch(
        issued: HostTime,
        answered: HostTime,
        waitMs: Long,
        changed: Boolean,
    ): HostTime {
        val waited = answered.monotonicMs - issued.monotonicMs >= waitMs
        return if (changed || !waited) issued else HostTime(issued.monotonicMs + waitMs, issued.wallMs + waitMs)
    }
}
