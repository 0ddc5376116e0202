package org.almondjunction.gateway

import org.almondjunction.decisions.QuotaUnit
import org.almondjunction.decisions.TokenQuota

/** Units that a request costs. */
internal object QuotaCost {
    private const val MAXIMUM_TOKENS = 10_000_000L

    /** Returns the cost under [quota] of a request with the [values] of the header of token counts. */
    fun of(
        quota: TokenQuota,
        values: List<String>,
    ): Long =
        when (quota.unit) {
            QuotaUnit.REQUESTS -> 1
            QuotaUnit.TOKENS -> tokens(values.singleOrNull().orEmpty()) ?: quota.plainUnits.coerceIn(0, MAXIMUM_TOKENS)
        }

    /** Returns the sum of both counts; null if the header is malformed. */
    private fun tokens(value: String): Long? {
        val counts = value.split(',').map { it.trim().toLongOrNull()?.takeIf { count -> count in 0..MAXIMUM_TOKENS } ?: return null }
        return counts.takeIf { it.size == 2 }?.sum()
    }
}
