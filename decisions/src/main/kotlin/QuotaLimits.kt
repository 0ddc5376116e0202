package org.almondjunction.decisions

/**
 * How far all gateways together may exceed a quota, by the users' requirements.
 *
 * In any window of [windowMs], the requests of a tenant may use (rate x window + burst) x (1 + [overage]) + [slack] units.
 *
 * @property windowMs length of the window, in milliseconds, more than 0
 * @property overage share of the quota by which it may be exceeded, 0 or more
 * @property slack units by which it may be exceeded besides, 0 or more
 */
public data class QuotaLimits(
    val windowMs: Long = 8_000,
    val overage: Double = 0.1,
    val slack: Double = 0.0,
)
