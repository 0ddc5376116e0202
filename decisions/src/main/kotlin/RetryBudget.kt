package org.almondjunction.decisions

/**
 * Token bucket that limits retries to a share of the requests sent.
 *
 * @param share retries permitted per request, 0 to 1
 * @param burst maximum number of retries in the bucket
 */
public class RetryBudget(
    private val share: Double = 0.1,
    private val burst: Double = 10.0,
) {
    private var tokens = burst

    /** Records a first attempt, which adds [share] of a retry to the bucket. */
    public fun deposit() {
        tokens = minOf(burst, tokens + share)
    }

    /** Takes one retry; returns false when none is left. */
    public fun withdraw(): Boolean = (tokens >= 1.0).also { if (it) tokens -= 1.0 }
}
