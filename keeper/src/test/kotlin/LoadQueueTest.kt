package org.almondjunction.keeper

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Order in which the models that gateways request at one engine are loaded while the engine is in high demand. */
class LoadQueueTest {
    /** [gateway] requests [model] at [atMs], with [callers] that wait and a demand of [requestsPerSecond]. */
    private data class Request(
        val gateway: String,
        val model: String,
        val callers: Float,
        val requestsPerSecond: Float,
        val atMs: Long = 0,
    )

    private data class Case(
        val pattern: String,
        val requests: List<Request>,
        val atMs: Long,
        val expected: String?,
        val held: Set<String> = emptySet(),
    )

    private fun loadRequest(request: Request) =
        KeeperMessage.LoadRequest(
            target = "t",
            model = request.model,
            timeoutMs = 2_000,
            mayEvict = true,
            memoryMb = 1,
            adapterSlots = 0,
            sizes = emptyList(),
            callers = request.callers,
            requestsPerSecond = request.requestsPerSecond,
        )

    @Test
    fun `the load of highest value to callers is taken first`() {
        val rare = Request("g1", "rare", callers = 2f, requestsPerSecond = 0.3f)
        listOf(
            Case("no requests", emptyList(), 0, null),
            Case(
                "model shift: a busy model whose callers were all refused, next to a rare model that was requested more often",
                List(5) { rare } + Request("g1", "busy", callers = 0.25f, requestsPerSecond = 4f),
                0,
                "busy",
            ),
            Case(
                "rare models at once: the one requested by several gateways",
                listOf(rare, Request("g1", "other", 1f, 0.3f), Request("g2", "other", 1f, 0.3f), Request("g3", "other", 1f, 0.3f)),
                0,
                "other",
            ),
            Case(
                "callers that can still be answered in time take precedence over late ones",
                listOf(
                    Request("g1", "late", callers = 0.5f, requestsPerSecond = 0f),
                    Request("g1", "timely", callers = 1f, requestsPerSecond = 0f),
                ),
                0,
                "timely",
            ),
            Case(
                "a model that has been queued for long is not starved",
                (0..4L).map { Request("g1", "old", 1f, 0f, it * 1_000) } + Request("g1", "new", 2f, 0f, 4_000),
                4_000,
                "old",
            ),
            Case("requests that are not repeated expire", listOf(rare), 1_600, null),
            Case("a model that is loaded by now is dropped", listOf(rare), 0, null, held = setOf("rare")),
        ).forEach { case ->
            val queue = LoadQueue()
            case.requests.forEach { queue.add(it.gateway, loadRequest(it), it.atMs) }
            val next = queue.take(case.atMs, case.held)
            if (case.expected == null) assertNull(next, case.pattern) else assertEquals(case.expected, next?.request?.model, case.pattern)
        }
    }
}
