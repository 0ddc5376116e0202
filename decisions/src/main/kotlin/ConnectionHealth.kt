package org.almondjunction.decisions

/** What to do about one connection. */
public enum class ConnectionAction {
    /** Nothing. */
    KEEP,

    /** Send a probe. */
    PROBE,

    /** Treat the connection as silent: dial a new one and move the outstanding work. */
    REPLACE,

    /** Close the connection, which has had no work for long. */
    CLOSE_IDLE,
}

/**
 * Finds out that a connection has gone silent, only while work is outstanding on it.
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
    private var lastHeardMs = startMs
    private var lastProbeMs = startMs
    private var lastWorkMs = startMs
    private var wasWorking = false

    /** Notes that anything was received at [nowMs]. */
    public fun heard(nowMs: Long) {
        lastHeardMs = nowMs
    }

    /** Returns what to do at [nowMs]; to be asked several times within the probe time. [working] tells whether work is outstanding. */
    public fun check(
        nowMs: Long,
        working: Boolean,
    ): ConnectionAction {
        if (working && !wasWorking) lastHeardMs = nowMs
        if (working) lastWorkMs = nowMs
        wasWorking = working
        return action(nowMs)
    }

    private fun action(nowMs: Long): ConnectionAction =
        when {
            !wasWorking -> if (nowMs - lastWorkMs >= closeIdleAfterMs) ConnectionAction.CLOSE_IDLE else ConnectionAction.KEEP
            nowMs - lastHeardMs >= replaceAfterMs -> ConnectionAction.REPLACE
            nowMs - lastHeardMs >= probeAfterMs && nowMs - lastProbeMs >= probeAfterMs ->
                ConnectionAction.PROBE.also {
                    lastProbeMs = nowMs
                }
            else -> ConnectionAction.KEEP
        }
}
