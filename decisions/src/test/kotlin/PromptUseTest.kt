package org.almondjunction.decisions

import kotlin.test.Test
import kotlin.test.assertEquals

/** Engines whose memory for prompts holds 232,000 tokens, and a review that takes 9,215 of them. */
class PromptUseTest {
    private val empty =
        PromptUse(
            toldTokens = 0,
            queued = 0,
            ageMs = 1_300,
            ownTokens = 0,
            ownTokensPerSecond = 0.0,
            otherGateways = 32,
            usualTokens = 5_000.0,
            answerMs = 1_000.0,
        )

    private data class Case(
        val pattern: String,
        val use: PromptUse,
        val likely: Double,
        val fits: Boolean,
        val waitMs: Long = 0,
        val tokens: Long = 9_215,
    )

    @Test
    fun `what is told, queued, sent since and likely sent by others counts`() {
        listOf(
            Case("nothing is known", empty, 0.0, fits = true),
            Case("as told", empty.copy(toldTokens = 200_000), 200_000.0, fits = true),
            Case("full as told", empty.copy(toldTokens = 230_375), 230_375.0, fits = false, waitMs = 32),
            Case("what waits within the engine comes next", empty.copy(toldTokens = 200_000, queued = 5), 225_000.0, fits = false, 9),
            Case("own requests since", empty.copy(toldTokens = 200_000, ownTokens = 27_645), 227_645.0, fits = false, waitMs = 21),
            Case("a burst that others see as well", empty.copy(ownTokensPerSecond = 8_000.0), 256_000.0, fits = false),
            Case("as much comes as ends", empty.copy(toldTokens = 200_000, ownTokensPerSecond = 6_250.0), 200_000.0, fits = true),
            Case("just told: others had no time", empty.copy(ageMs = 0, ownTokensPerSecond = 8_000.0), 0.0, fits = true),
            Case("one gateway alone", empty.copy(ownTokensPerSecond = 8_000.0, otherGateways = 0), 0.0, fits = true),
            Case("larger than the memory, on an empty engine", empty, 0.0, fits = true, tokens = 300_000),
            Case("larger than the memory", empty.copy(toldTokens = 10_000), 10_000.0, fits = false, waitMs = 1_000, tokens = 300_000),
        ).forEach { case ->
            assertEquals(case.likely, case.use.likelyTokens, 0.01, case.pattern)
            assertEquals(case.fits, case.use.fits(case.tokens, CAPACITY_TOKENS), case.pattern)
            assertEquals(case.waitMs, case.use.waitMs(case.tokens, CAPACITY_TOKENS), case.pattern)
        }
    }

    private companion object {
        const val CAPACITY_TOKENS = 232_000L
    }
}
