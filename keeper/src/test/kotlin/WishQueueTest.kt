package org.almondjunction.keeper

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Whose weights come first when several models are wished for at one engine: loads of heavy days. */
class WishQueueTest {
    /** [gateway] asks for [model] at [atMs], with [callers] that wait and [requestsPerSecond] that come. */
    private data class Ask(
        val gateway: String,
        val model: String,
        val callers: Float,
        val requestsPerSecond: Float,
        val atMs: Long = 0,
    )

    private data class Case(
        val pattern: String,
        val asks: List<Ask>,
        val atMs: Long,
        val expected: String?,
        val held: Set<String> = emptySet(),
    )

    private fun wish(ask: Ask) =
        KeeperMessage.LoadRequest(
            target = "t",
            model = ask.model,
            timeoutMs = 2_000,
            mayEvict = true,
            memoryMb = 1,
            adapterSlots = 0,
            sizes = emptyList(),
            callers = ask.callers,
            requestsPerSecond = ask.requestsPerSecond,
        )

    @Test
    fun `the load that is worth most to callers comes first`() {
        val rare = Ask("g1", "rare", callers = 2f, requestsPerSecond = 0.3f)
        listOf(
            Case("nobody asks", emptyList(), 0, null),
            Case(
                "model shift: a busy model whose callers were all refused, beside a rare one that was asked for more often",
                List(5) { rare } + Ask("g1", "busy", callers = 0.25f, requestsPerSecond = 4f),
                0,
                "busy",
            ),
            Case(
                "rare models at once: the one for which callers of several gateways wait",
                listOf(rare, Ask("g1", "other", 1f, 0.3f), Ask("g2", "other", 1f, 0.3f), Ask("g3", "other", 1f, 0.3f)),
                0,
                "other",
            ),
            Case(
                "callers that can still be answered in time come before late ones",
                listOf(
                    Ask("g1", "late", callers = 0.5f, requestsPerSecond = 0f),
                    Ask("g1", "timely", callers = 1f, requestsPerSecond = 0f),
                ),
                0,
                "timely",
            ),
            Case(
                "one that has waited long is not passed over for ever",
                (0..4L).map { Ask("g1", "old", 1f, 0f, it * 1_000) } + Ask("g1", "new", 2f, 0f, 4_000),
                4_000,
                "old",
            ),
            Case("callers that left are forgotten", listOf(rare), 1_600, null),
            Case("what is held by now is not wished for", listOf(rare), 0, null, held = setOf("rare")),
        ).forEach { case ->
            val queue = WishQueue()
            case.asks.forEach { queue.add(it.gateway, wish(it), it.atMs) }
            val next = queue.take(case.atMs, case.held)
            if (case.expected == null) assertNull(next, case.pattern) else assertEquals(case.expected, next?.wish?.model, case.pattern)
        }
    }
}
