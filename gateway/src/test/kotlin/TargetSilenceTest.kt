package org.almondjunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import org.almondjunction.common.Address
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.common.VirtualClock
import org.almondjunction.common.ZoneId
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.network.EventLoop
import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests the detection of engines that hang, are disconnected or lost with their host while requests are in flight. */
class TargetSilenceTest {
    private val clock = VirtualClock()

    private fun entry(name: String) =
        TargetEntry(TargetId(name), ServiceId("s"), Address("127.0.0.1", 1), ZoneId("z"), true, 4, 1, 1, emptyMap())

    private fun target() = Target(EventLoop(clock), entry("t"), promptCacheTokens = 1)

    /** An event at [atMs], in milliseconds. */
    private data class Event(
        val atMs: Long,
        val kind: EventKind,
    )

    private enum class EventKind { SEND, END, TOKEN, KEEPER_ANSWER }

    /** @property silentChangesMs when [Target.silent] changes, beginning with the first change to true */
    private data class Case(
        val pattern: String,
        val model: String?,
        val events: List<Event>,
        val silentChangesMs: List<Long>,
        val cancelledMs: List<Long>,
        val retryable: Boolean = true,
    )

    private val send = Event(0, EventKind.SEND)

    private val cases =
        listOf(
            Case("nothing in flight", "m", emptyList(), emptyList(), emptyList()),
            Case("an engine that becomes silent with a request", "m", listOf(send), listOf(1_300), listOf(1_300)),
            Case("a plain target that becomes silent with a request", null, listOf(send), listOf(600), listOf(600)),
            Case(
                "an engine that generates until it becomes silent",
                "m",
                listOf(send) + (1..20L).map { Event(it * 250, EventKind.TOKEN) },
                listOf(6_300),
                listOf(6_300),
            ),
            Case(
                "a long prompt is being processed, and the keeper answers until its host is lost",
                "m",
                listOf(send) + (1..10L).map { Event(it * 500, EventKind.KEEPER_ANSWER) },
                listOf(6_300),
                listOf(6_300),
            ),
            Case(
                "an engine that recovers",
                "m",
                listOf(send, Event(5_000, EventKind.KEEPER_ANSWER), Event(5_050, EventKind.END)),
                listOf(1_300, 5_000),
                listOf(1_300),
            ),
            Case(
                "a request that arrived recently is not cancelled yet",
                "m",
                listOf(send, Event(1_250, EventKind.SEND)),
                listOf(1_300),
                listOf(1_300, 2_550),
            ),
            Case(
                "a silent target is tried again once its requests have ended",
                null,
                listOf(send, Event(700, EventKind.END)),
                listOf(600, 2_650),
                listOf(600),
            ),
        )

    @Test
    fun `requests in flight are cancelled when neither the target nor its keeper shows activity`() = cases.forEach { check(it) }

    private fun check(case: Case) {
        val target = target()
        val begun = mutableListOf<InFlightRequest>()
        val cancelledMs = mutableMapOf<InFlightRequest, Long>()
        val changesMs = mutableListOf<Long>()
        val startMs = clock.nowMs()
        for (atMs in 0..LENGTH_MS step CHECK_INTERVAL_MS) {
            val before = target.silent
            case.events.filter { it.atMs == atMs }.forEach { event ->
                when (event.kind) {
                    EventKind.SEND -> {
                        val send =
                            InFlightRequest(
                                model = case.model,
                                adapter = null,
                                promptTokens = 1,
                                retryable = case.retryable,
                                callerIdleTimeoutMs = 3_200,
                                lastProgressMs = clock.nowMs(),
                            )
                        send.cancel = { cancelledMs.putIfAbsent(send, clock.nowMs() - startMs) }
                        begun += send
                        target.begin(send)
                    }
                    EventKind.END -> target.end(begun.removeFirst())
                    EventKind.TOKEN -> target.recordActivity()
                    EventKind.KEEPER_ANSWER -> target.update(KeeperMessage.EngineLoad())
                }
            }
            target.checkSilence()
            if (target.silent != before) changesMs += atMs
            clock.advanceBy(CHECK_INTERVAL_MS)
        }
        assertEquals(case.silentChangesMs, changesMs, case.pattern)
        assertEquals(case.cancelledMs, cancelledMs.values.toList(), case.pattern)
    }

    @Test
    fun `a silent target gets no requests unless all are silent`() {
        val registry = TargetRegistry(EventLoop(clock), CoroutineScope(SupervisorJob()), "g", 1, GatewayState(CrashTracker(clock, "g")))
        val service = ServiceId("s")
        listOf("t0", "t1").forEach { registry.apply(TargetDirectory.Change.Put(entry(it))) }
        val (first, second) = registry.ready(service)
        val expected = listOf(listOf(first, second), listOf(second), listOf(first, second))
        val actual =
            listOf(null, first, second).map { silenced ->
                silenced?.begin(InFlightRequest("m", null, promptTokens = 1))
                clock.advanceBy(InFlightRequest.ENGINE_SILENCE_MS)
                silenced?.checkSilence()
                registry.ready(service)
            }
        assertEquals(expected, actual)
    }

    private companion object {
        const val LENGTH_MS = 12_000L
        const val CHECK_INTERVAL_MS = 50L
    }
}
