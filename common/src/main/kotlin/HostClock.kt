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

/** Both clocks of this host; its wall clock does not go back, see [ForwardHostClock]. */
public object SystemHostClock : HostClock by ForwardHostClock({ HostTime(SystemClock.nowMs(), System.currentTimeMillis()) })

/**
 * The clocks of [source] without backward jumps of its wall clock.
 *
 * A backward jump would hide a later suspension of the host from the wall clock; the time of the monotonic clock is added in its place. It
 * is recognized by the next call of [now], which must therefore be called several times a second; a suspension between the same two calls
 * as the jump is not recognized.
 */
public class ForwardHostClock(
    private val source: HostClock,
) : HostClock {
    private var last = source.now()
    private var wallMs = last.wallMs

    @Synchronized
    override fun now(): HostTime {
        val current = source.now()
        val wallElapsedMs = current.wallMs - last.wallMs
        wallMs += if (wallElapsedMs < 0) current.monotonicMs - last.monotonicMs else wallElapsedMs
        last = current
        return HostTime(current.monotonicMs, wallMs)
    }
}
