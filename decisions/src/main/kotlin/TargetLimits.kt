package org.almondjunction.decisions

/**
 * Limits of one target.
 *
 * @property maximumRunning requests that run at once
 * @property maximumWaiting requests that wait at once
 * @property orderSettleMs time after a lost reply, or after the process began, until no earlier order can still arrive
 * @property ticketDrainMs time that running requests get when a ticket withdraws what they run on
 * @property fencingMs time without contact to any entry host after which everything is unloaded
 * @property agingMs waiting time that counts as one step of priority
 * @property bypassMs waiting time after which no later request may start a load before an earlier one
 * @property minimumResidencyMs time that a loaded model stays although others wait for its memory
 * @property defaultLoadMs load time assumed before any was observed
 */
public data class TargetLimits(
    val maximumRunning: Int = 64,
    val maximumWaiting: Int = 1_000,
    val orderSettleMs: Long = 2_000,
    val ticketDrainMs: Long = 4_000,
    val fencingMs: Long = 600_000,
    val agingMs: Long = 10_000,
    val bypassMs: Long = 5_000,
    val minimumResidencyMs: Long = 2_000,
    val defaultLoadMs: Long = 1_000,
)
