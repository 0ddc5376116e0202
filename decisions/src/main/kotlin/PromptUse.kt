package org.almondjunction.decisions

/**
 * What is known of the memory for prompts of an engine.
 *
 * @property toldTokens tokens in use, as last told; 0 where nothing was told
 * @property queued requests that waited within the engine when that was told
 * @property ageMs time since what was told held, in milliseconds
 * @property ownTokens tokens of the requests that this gateway has sent since and that have not ended
 * @property ownTokensPerSecond tokens that this gateway sends there in a second, of late
 * @property otherGateways gateways beside this one, which are likely to send as it does
 * @property usualTokens tokens of a usual request
 * @property answerMs time for which a request usually stays, in milliseconds
 */
public data class PromptUse(
    val toldTokens: Long,
    val queued: Int,
    val ageMs: Long,
    val ownTokens: Long,
    val ownTokensPerSecond: Double,
    val otherGateways: Int,
    val usualTokens: Double,
    val answerMs: Double,
) {
    private val promisedTokens: Double get() = toldTokens + queued * usualTokens

    /** Tokens that are in use or promised, without what others have sent since. */
    public val knownTokens: Double get() = promisedTokens + ownTokens

    /** Tokens of what others have likely sent since, beyond what has ended. */
    public val unseenTokens: Double
        get() {
            val stayMs = answerMs.coerceAtLeast(SHORTEST_MS)
            val comingPerMs = ownTokensPerSecond * otherGateways / MILLISECONDS_PER_SECOND
            val endingPerMs = promisedTokens / stayMs
            return (comingPerMs - endingPerMs).coerceAtLeast(0.0) * minOf(ageMs.toDouble(), stayMs)
        }

    /** Tokens that are likely to be in use or promised. */
    public val likelyTokens: Double get() = knownTokens + unseenTokens

    /** Returns whether a request of [tokens] fits in [capacityTokens]; one that is larger than that fits where nothing else is. */
    public fun fits(
        tokens: Long,
        capacityTokens: Long,
        usedTokens: Double = likelyTokens,
    ): Boolean = usedTokens + minOf(tokens, capacityTokens) <= capacityTokens

    /** Returns the time after which a request of [tokens] is likely to fit in [capacityTokens], in milliseconds. */
    public fun waitMs(
        tokens: Long,
        capacityTokens: Long,
    ): Long {
        val missing = knownTokens + minOf(tokens, capacityTokens) - capacityTokens
        return if (missing <= 0) 0 else (missing / knownTokens * answerMs).toLong().coerceAtLeast(1)
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0
        const val SHORTEST_MS = 1.0
    }
}
