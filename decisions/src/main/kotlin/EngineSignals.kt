package org.almondjunction.decisions

import org.almondjunction.common.TargetId
import kotlin.math.ceil
import kotlin.random.Random

/** What an answer of an engine says about the requests that it wants to receive. */
public sealed class EngineSignal {
    /** The engine is shutting down. */
    public data object Leaving : EngineSignal()

    /** The engine wants no request for [waitMs]. */
    public data class Wait(
        val waitMs: Long,
    ) : EngineSignal()

    /** The time that the engine gave has no meaning. */
    public data class Ignored(
        val value: String,
    ) : EngineSignal()
}

/**
 * Engines that are shutting down or have asked for a time without requests, by their own answers.
 *
 * What an engine has said holds for this incarnation whatever other sources report, also if its entry disappears and returns.
 */
public class EngineSignals {
    /** One incarnation of an engine; a later start at the same address is another one. */
    private data class Incarnation(
        val target: TargetId,
        val startedMs: Long,
    )

    private class State {
        var leaving = false
        var waitUntilMs = Long.MIN_VALUE
        var waiting = false
        var ignored = false
    }

    private val states = LruMap<Incarnation, State>(MAXIMUM_INCARNATIONS)

    /**
     * Takes up an answer with [status] of the engine [target] that started at [startedMs]; returns what changes by it.
     *
     * @param leaving values of the header that announces a shutdown
     * @param retryAfter values of the header that asks for a time without requests
     */
    public fun receive(
        target: TargetId,
        startedMs: Long,
        status: Int,
        leaving: List<String>,
        retryAfter: List<String>,
        nowMs: Long,
    ): List<EngineSignal> {
        val leaves = leaving.any { it.trim() == LEAVING }
        val values = if (status == SERVICE_UNAVAILABLE) retryAfter else emptyList()
        if (!leaves && values.isEmpty()) return emptyList()
        val state = states.getOrPut(Incarnation(target, startedMs)) { State() }
        val changes = mutableListOf<EngineSignal>()
        if (leaves && !state.leaving) {
            state.leaving = true
            changes += EngineSignal.Leaving
        }
        values.forEach { value -> takeUp(state, value, nowMs)?.let { changes += it } }
        return changes
    }

    private fun takeUp(
        state: State,
        value: String,
        nowMs: Long,
    ): EngineSignal? {
        val waitMs = waitMs(value)
        if (waitMs == null) {
            val known = state.ignored
            state.ignored = true
            return EngineSignal.Ignored(value).takeUnless { known }
        }
        // Answers of one engine may arrive in any order; every time that one of them gave holds.
        state.waitUntilMs = maxOf(state.waitUntilMs, nowMs + waitMs)
        if (state.waiting || waitMs == 0L) return null
        state.waiting = true
        return EngineSignal.Wait(waitMs)
    }

    /** Whether the incarnation of [target] that started at [startedMs] may receive a request now. */
    public fun accepts(
        target: TargetId,
        startedMs: Long,
        nowMs: Long,
    ): Boolean {
        if (states.isEmpty()) return true
        val state = states[Incarnation(target, startedMs)] ?: return true
        return !state.leaving && nowMs >= state.waitUntilMs
    }

    /** Returns the time until the incarnation accepts requests again; 0 if it does now, null if it is shutting down. */
    public fun waitMs(
        target: TargetId,
        startedMs: Long,
        nowMs: Long,
    ): Long? {
        val state = states[Incarnation(target, startedMs)] ?: return 0
        return if (state.leaving) null else (maxOf(state.waitUntilMs, nowMs) - nowMs)
    }

    /** Returns the engines whose time without requests has ended since the last call. */
    public fun takeEnded(nowMs: Long): List<TargetId> {
        val ended = states.filterValues { it.waiting && nowMs >= it.waitUntilMs }
        ended.values.forEach { it.waiting = false }
        return ended.keys.map { it.target }
    }

    public companion object {
        private const val LEAVING = "1"
        private const val SERVICE_UNAVAILABLE = 503
        private const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Longer times count as this, so that a faulty value does not take an engine out of service for long. */
        private const val MAXIMUM_WAIT_S = 60.0

        /** Seconds with an optional fraction; a date, a sign or another notation has no meaning here. */
        private val SECONDS = Regex("[0-9]+(\\.[0-9]*)?|\\.[0-9]+")

        /** Above the number of engines of all sites together; the least recently used are evicted. */
        private const val MAXIMUM_INCARNATIONS = 4_096

        /** Callers that are told the same time return within this share of it, and at least within [MINIMUM_SPREAD_MS]. */
        private const val SPREAD_DIVISOR = 4
        private const val MINIMUM_SPREAD_MS = 250L

        /** Covers the rounding of the header to hundredths of a second. */
        private const val ROUNDING_MS = 5L

        /** Returns the time that the header value [value] asks for; null if it has no meaning. */
        public fun waitMs(value: String): Long? {
            val seconds = value.trim().takeIf { SECONDS.matches(it) }?.toDoubleOrNull() ?: return null
            return ceil(minOf(seconds, MAXIMUM_WAIT_S) * MILLISECONDS_PER_SECOND).toLong()
        }

        /** Returns the time after which a caller should try again if engines accept requests in [waitMs]: that time or somewhat later. */
        public fun retryAfterMs(
            waitMs: Long,
            random: Random,
        ): Long = waitMs + ROUNDING_MS + random.nextLong(maxOf(waitMs / SPREAD_DIVISOR, MINIMUM_SPREAD_MS))
    }
}
