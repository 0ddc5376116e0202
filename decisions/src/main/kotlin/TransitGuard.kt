package org.almondjunction.decisions

/**
 * Detects messages that were delayed in transit for so long that their sender may no longer expect a reply.
 *
 * Works without synchronized clocks: the smallest observed difference between the receiver's and the sender's clock counts as no delay.
 *
 * @param maximumTransitMs longest delay of a message that is still accepted
 */
public class TransitGuard(
    private val maximumTransitMs: Long = MAXIMUM_TRANSIT_MS,
) {
    private var smallestDifferenceMs = Long.MAX_VALUE

    /** Records one message and returns whether it is fresh enough to be processed. */
    public fun isFresh(
        sentMs: Long,
        receivedMs: Long,
    ): Boolean {
        smallestDifferenceMs = minOf(smallestDifferenceMs, receivedMs - sentMs)
        return receivedMs - sentMs - smallestDifferenceMs <= maximumTransitMs
    }

    public companion object {
        /** Default of the longest delay of a message that is still accepted. */
        public const val MAXIMUM_TRANSIT_MS: Long = 30_000
    }
}
