package org.almondjunction.decisions

/** Units that one request has taken from a [QuotaAccount]. */
public class QuotaCharge internal constructor(
    internal val parts: List<Pair<HeldGrant, Long>>,
) {
    /** Number of units. */
    public val units: Long get() = parts.sumOf { it.second }
}
