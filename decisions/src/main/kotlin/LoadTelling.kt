package org.almondjunction.decisions

import kotlin.math.abs

/** Decides when a keeper tells a gateway of the load of its engine; the time between tellings grows with the gateways, not their sum. */
public object LoadTelling {
    /**
     * Returns whether a changed load is to be told to a gateway that was last told [sinceMs] ago.
     *
     * @param gateways number of gateways that are told
     * @param toldTokens tokens in the memory for prompts, as that gateway was told
     * @param usedTokens tokens in it now
     * @param capacityTokens tokens that it holds; 0 where that is unknown
     */
    public fun isDue(
        sinceMs: Long,
        gateways: Int,
        toldTokens: Long,
        usedTokens: Long,
        capacityTokens: Long,
    ): Boolean {
        val intervalMs =
            if (isJump(toldTokens, usedTokens, capacityTokens)) {
                maxOf(JUMP_INTERVAL_MS, gateways * JUMP_SPACING_MS)
            } else {
                maxOf(INTERVAL_MS, gateways * SPACING_MS)
            }
        return sinceMs >= intervalMs
    }

    /** Returns whether the use of the memory for prompts has changed so much that other gateways would choose otherwise. */
    public fun isJump(
        toldTokens: Long,
        usedTokens: Long,
        capacityTokens: Long,
    ): Boolean = capacityTokens > 0 && abs(usedTokens - toldTokens) * JUMP_PARTS >= capacityTokens

    /** Least time between two tellings of the load alone, in milliseconds. */
    private const val INTERVAL_MS = 200L

    /** Time between tellings to different gateways, in milliseconds, so that their number does not grow with the fleet. */
    private const val SPACING_MS = 40L

    /** The same after a jump. */
    private const val JUMP_INTERVAL_MS = 100L
    private const val JUMP_SPACING_MS = 10L

    /** Part of the memory, as its divisor, that is a jump. */
    private const val JUMP_PARTS = 8
}
