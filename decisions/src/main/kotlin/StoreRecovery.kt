package org.almondjunction.decisions

/**
 * Decides how long an entry is still used that a store no longer lists.
 *
 * Entries may expire while the store is unreachable, and their owners list them again once it is back. All entries found missing in that
 * time are kept until the same moment, whenever they are read, so that a delay in reading does not add to the time for which an entry
 * that was removed on purpose is used.
 *
 * @param recoveryMs time after the store is back within which owners list their entries again, in milliseconds
 */
public class StoreRecovery(
    private val recoveryMs: Long,
) {
    private var failed = false
    private var endMs: Long? = null

    /** Records that a call failed, or that the store came back from an older copy. */
    public fun recordFailure() {
        failed = true
    }

    /** Records a usable answer of the store at [nowMs]; must be called before its content is used. */
    public fun recordAnswer(nowMs: Long) {
        if (failed) endMs = maxOf(endMs ?: 0, nowMs + recoveryMs)
        failed = false
    }

    /** Returns the time until which an entry that is found missing at [nowMs] is kept; null if it is known to be removed. */
    public fun keepUntilMs(nowMs: Long): Long? = endMs?.takeIf { it > nowMs }
}
