package org.almondjunction.decisions

/**
 * Quota of a tenant over all gateways together.
 *
 * @property ratePerSecond units per second, more than 0
 * @property burst units that may be used at once beyond the rate, 0 or more
 * @property plainUnits units of a request that does not say how many tokens it has
 */
public data class TokenQuota(
    val ratePerSecond: Double,
    val burst: Double,
    val unit: QuotaUnit,
    val plainUnits: Long,
)

/** What a quota counts. */
public enum class QuotaUnit {
    REQUESTS,
    TOKENS,
}
