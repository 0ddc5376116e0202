package org.almondjunction.decisions

/**
 * Limits of one target.
 *
 * @property maximumRunning maximum number of requests that run at once
 * @property maximumWaiting maximum length of the queue
 * @property orderSettleMs time after a lost reply, or after the start of the process, when no earlier order can still arrive
 * @property ticketDrainMs time for running requests to complete after a ticket withdraws the model or adapter that they use
 * @property fencingMs time without contact from any entry host after which everything is unloaded
 * @property agingMs waiting time that raises the priority of a request by one
 * @property bypassMs waiting time of a request after which requests behind it in the queue may not start loads
 * @property minimumResidencyMs minimum time that a model stays loaded while requests for other models wait for its memory
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
