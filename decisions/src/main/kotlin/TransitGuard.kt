package org.almondjunction.decisions

/**
 * Recognizes messages that were held up on the way for so long that their sender may have given them up.
 *
 * Works without synchronized clocks: the shortest difference seen between the receiver's and the sender's clock stands for no delay.
 *
 * @param maximumTransitMs longest delay of a message that is still taken
 */
public class TransitGuard(
    private val maximumTransitMs: Long = MAXIMUM_TRANSIT_MS,
) {
    private var smallestDifferenceMs = Long.MAX_VALUE

    /** Notes one message and returns whether it is fresh enough to act on. */
    public fun isFresh(
        sentMs: Long,
        receivedMs: Long,
    ): Boolean {
        smallestDifferenceMs = minOf(smallestDifferenceMs, receivedMs - sentMs)
        return receivedMs - sentMs - smallestDifferenceMs <= maximumTransitMs
    }

    public companion object {
        /** Default of the longest delay of a message that is still taken. */
        public const val MAXIMUM_TRANSIT_MS: Long = 30_000
    }
}
