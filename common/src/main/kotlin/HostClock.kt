package org.almondjunction.common

/**
 * A point in time on both clocks of a host.
 *
 * The monotonic clock of a suspended host stands still, and the wall clock may jump; neither alone bounds the time that has passed.
 *
 * @property monotonicMs time of the monotonic clock, in milliseconds
 * @property wallMs time of the wall clock since 1970, in milliseconds
 */
public data class HostTime(
    val monotonicMs: Long,
    val wallMs: Long,
) {
    /** Returns the time until [later] by the clock that advanced further; for what must expire in time. */
    public fun longestMsUntil(later: HostTime): Long = maxOf(later.monotonicMs - monotonicMs, later.wallMs - wallMs)
}

/** Source of [HostTime]. */
public fun interface HostClock {
    public fun now(): HostTime
}

/** Both clocks of this host. */
public object SystemHostClock : HostClock {
    override fun now(): HostTime = HostTime(SystemClock.nowMs(), System.currentTimeMillis())
}
