package org.almondjunction.decisions

/** Action for a connection. */
public enum class ConnectionAction {
    /** No action. */
    KEEP,

    /** Send a probe. */
    PROBE,

    /** Treat the connection as silent: open a new one and move the outstanding work to it. */
    REPLACE,

    /** Close the connection, which has been without work for long. */
    CLOSE_IDLE,
}

/**
 * Detects a silent connection, only while work is outstanding on it.
 *
 * @param probeAfterMs silence after which a probe is sent
 * @param replaceAfterMs silence after which the connection is replaced
 * @param closeIdleAfterMs time without work after which the connection is closed
 */
public class ConnectionHealth(
    private val probeAfterMs: Long = 400,
    private val replaceAfterMs: Long = 1_500,
    private val closeIdleAfterMs: Long = 60_000,
    startMs: Long,
) {
    private var lastActivityMs = startMs
    private var lastProbeMs = startMs
    private var lastWorkMs = startMs
    private var wasWorking = false

    /** Records activity of the peer at [nowMs], such as the arrival of data. */
    public fun recordActivity(nowMs: Long) {
        lastActivityMs = nowMs
    }

    /** Returns the action at [nowMs]; must be called several times within the probe time. [working] tells whether work is outstanding. */
    public fun check(
        nowMs: Long,
        working: Boolean,
    ): ConnectionAction {
        if (working && !wasWorking) lastActivityMs = nowMs
        if (working) lastWorkMs = nowMs
        wasWorking = working
        return action(nowMs)
    }

    private fun action(nowMs: Long): ConnectionAction =
        when {
            !wasWorking -> if (nowMs - lastWorkMs >= closeIdleAfterMs) ConnectionAction.CLOSE_IDLE else ConnectionAction.KEEP
            nowMs - lastActivityMs >= replaceAfterMs -> ConnectionAction.REPLACE
            nowMs - lastActivityMs >= probeAfterMs && nowMs - lastProbeMs >= probeAfterMs ->
                ConnectionAction.PROBE.also {
                    lastProbeMs = nowMs
                }
            else -> ConnectionAction.KEEP
        }
}
