package org.almondjunction.decisions

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Limits of one tenant, as gateways report them to the coordinator of its quota.
 *
 * @property ratePerSecond units per second, more than 0
 * @property burst units that may be used at once beyond the rate
 * @property tolerance units beyond rate x window + burst that all gateways together may use in a window
 */
@Serializable
public data class QuotaBounds(
    @SerialName("r") val ratePerSecond: Double,
    @SerialName("b") val burst: Double,
    @SerialName("t") val tolerance: Double,
) {
    /** Time for which a grant may be spent, counted from the gateway's request for it. */
    val validityMs: Long
        get() = minOf(MAXIMUM_VALIDITY_MS, (VALIDITY_SHARE * tolerance / ratePerSecond * MILLISECONDS_PER_SECOND).toLong())

    /** Units by which one large request may take a bucket below zero. */
    val debt: Double get() = DEBT_SHARE * tolerance

    /** Highest cost of a request that can be granted at all. */
    val largestCost: Double get() = burst + debt

    /** Whether the limits are usable numbers. */
    val valid: Boolean
        get() = ratePerSecond > 0 && burst >= 0 && tolerance >= 0 && listOf(ratePerSecond, burst, tolerance).all { it.isFinite() }

    public companion object {
        private const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Tokens that a crashed gateway held are lost for at most this time. */
        public const val MAXIMUM_VALIDITY_MS: Long = 2_000

        /**
         * Shares of the tolerance. The units of a validity count twice: gateways may hold that much when a window begins, and again what
         * a coordinator granted just before its successor began. With the debt, that is the whole tolerance.
         */
        private const val VALIDITY_SHARE = 0.3
        private const val DEBT_SHARE = 0.4

        /** Returns the bounds of [quota] under [limits]. */
        public fun of(
            quota: TokenQuota,
            limits: QuotaLimits,
        ): QuotaBounds {
            val allowed = quota.ratePerSecond * limits.windowMs / MILLISECONDS_PER_SECOND + quota.burst
            return QuotaBounds(quota.ratePerSecond, quota.burst, limits.overage * allowed + limits.slack)
        }
    }
}
