package org.almondjunction.decisions

/**
 * Within any window of [windowMs] milliseconds, retries stay below [ratio] of the first sends plus [extra].
 *
 * @property ratio retries for each first send, 0 or more
 * @property extra retries that all gateways together may make in a window beyond the ratio
 */
public data class RetryLimits(
    val ratio: Double = 0.2,
    val extra: Double = 50.0,
    val windowMs: Long = 10_000,
)
