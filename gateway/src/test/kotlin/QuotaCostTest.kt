package org.almondjunction.gateway

import org.almondjunction.decisions.QuotaUnit
import org.almondjunction.decisions.TokenQuota
import kotlin.test.Test
import kotlin.test.assertEquals

class QuotaCostTest {
    private val tokens = TokenQuota(1.0, 1.0, QuotaUnit.TOKENS, plainUnits = 7)

    // Guards against callers that lower their cost, or exhaust a quota, with numbers that mean nothing.
    @Test
    fun `a malformed header of token counts costs the plain units`() {
        val cases =
            mapOf(
                listOf("3,5") to 8L,
                listOf(" 30 , 40 ") to 70L,
                listOf("0,0") to 0L,
                listOf("10000000,10000000") to 20_000_000L,
                listOf("10000001,1") to 7L,
                listOf("-1,5") to 7L,
                listOf("5") to 7L,
                listOf("5,") to 7L,
                listOf("5,6,7") to 7L,
                listOf("1.5,2") to 7L,
                listOf("99999999999999999999,1") to 7L,
                emptyList<String>() to 7L,
                listOf("1,1", "1,1") to 7L,
            )
        cases.forEach { (values, cost) -> assertEquals(cost, QuotaCost.of(tokens, values), "$values") }
        assertEquals(1, QuotaCost.of(tokens.copy(unit = QuotaUnit.REQUESTS), listOf("30,40")))
    }
}
