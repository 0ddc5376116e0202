package org.almondjunction.decisions

import org.almondjunction.common.HostTime

/** Units that a gateway may spend until their validity ends. */
internal class HeldGrant(
    val lease: Long,
    val batch: Long,
    private val asked: HostTime,
    private val validityMs: Long,
    var units: Long,
) {
    /** Whether it was given up, as after a change of the limits. */
    var discarded = false

    fun leftMs(now: HostTime): Long = validityMs - asked.longestMsUntil(now)

    /** Whether it is so close to its end that unspent units should be returned. */
    fun ending(now: HostTime): Boolean = leftMs(now) < validityMs / RETURN_DIVISOR

    private companion object {
        /** Leaves time for the return to reach the coordinator, also from another region. */
        const val RETURN_DIVISOR = 4
    }
}
