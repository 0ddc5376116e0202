package org.almondjunction.decisions

import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId

/** Learns from answers how fast targets read prompts, in tokens per millisecond. */
public class ReadingSpeed {
    private val figures = TargetFigures(PRIOR_TOKENS_PER_MS)
    private val promptTokens = RecentlyUsed<ServiceId, Double>(MOST_SERVICES)

    /**
     * Notes the first event of an answer of [target], which had nothing else to read.
     *
     * @param unreadTokens tokens of the prompt that it had to read; short prompts tell little of the speed
     * @param firstEventMs time from sending to the first event, without the way there and back
     */
    public fun record(
        service: ServiceId,
        target: TargetId,
        unreadTokens: Long,
        firstEventMs: Double,
        nowMs: Long,
    ) {
        if (unreadTokens < LEAST_TOKENS) return
        val weight = unreadTokens.toDouble()
        figures.record(service, target, weight / firstEventMs.coerceAtLeast(SHORTEST_MS), weight, nowMs)
    }

    /** Notes a request to [service] with a prompt of [tokens], kept or not. */
    public fun prompt(
        service: ServiceId,
        tokens: Long,
    ) {
        val before = promptTokens[service] ?: PRIOR_PROMPT_TOKENS
        promptTokens[service] = before + (tokens - before) * NEWEST_WEIGHT
    }

    /** Returns the speed of [target], in tokens per millisecond. */
    public fun tokensPerMs(
        service: ServiceId,
        target: TargetId,
        nowMs: Long,
    ): Double = figures.of(service, target, nowMs)

    /** Returns the usual speed of targets of [service], in tokens per millisecond. */
    public fun tokensPerMs(
        service: ServiceId,
        nowMs: Long,
    ): Double = figures.of(service, nowMs)

    /** Returns the usual length of a prompt for [service], in tokens. */
    public fun usualPromptTokens(service: ServiceId): Double = promptTokens[service] ?: PRIOR_PROMPT_TOKENS

    public companion object {
        /** Speed assumed until answers tell, in tokens per millisecond. */
        public const val PRIOR_TOKENS_PER_MS: Double = 40.0

        /** Length of a prompt assumed until requests tell, in tokens. */
        public const val PRIOR_PROMPT_TOKENS: Double = 5_000.0

        /** With fewer tokens to read, other work of a target takes most of the time. */
        private const val LEAST_TOKENS = 200L

        /** Clocks count whole milliseconds. */
        private const val SHORTEST_MS = 1.0

        /** Some dozen requests tell how long prompts are by now. */
        private const val NEWEST_WEIGHT = 0.03
        private const val MOST_SERVICES = 256
    }
}
