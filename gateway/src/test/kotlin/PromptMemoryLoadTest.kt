package org.almondjunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.Address
import org.almondjunction.common.Clock
import org.almondjunction.common.Location
import org.almondjunction.common.ModelId
import org.almondjunction.common.RegionId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.common.ZoneId
import org.almondjunction.decisions.RepeatKind
import org.almondjunction.keeper.HeldModel
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.network.EventLoop
import org.almondjunction.network.HttpHeader
import org.almondjunction.network.HttpHeaders
import org.almondjunction.network.RequestHead
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Many gateways, each of which hears of the load of each engine now and then only, send reviews whose prompts fill the memory of an
 * engine long before its places. Nothing is sent; engines and keepers are played.
 */
class PromptMemoryLoadTest {
    private val names =
        HeaderNames("Id", "Deadline", "Model", "Tokens", "Parts", "Last", "Signature", "Target", "Answering", "Not", "Urgency", emptySet())
    private val service = ServiceId("s")
    private val model = ModelPlan(ModelId("m"), 60, 0, loadMs = 6_000, loadFromMemoryMs = 300, loadFromDiskMs = 500)
    private val plan = EnginePlan(64, CAPACITY_TOKENS, weightsMb = 100, adapterSlots = 2, mapOf(model.model to model))
    private val route =
        Route("r", "h", "/", RepeatKind.RESUMABLE, true, listOf(Destination(service, 1.0)), 6_000, 800, 0, maximumTargets = 2)
    private val place = Place(Location(RegionId("r"), ZoneId("z")), mapOf(ZoneId("z") to RegionId("r")))

    private data class Case(
        val pattern: String,
        val gateways: Int,
        val engines: Int,
        val reviewsPerSecond: Int,
        val tellingMs: Long,
        val sharedPrompts: Int,
        val mostPreemptingPercent: Int,
    )

    private val cases =
        listOf(
            Case("reviews of one kind in a large deployment", 33, 6, 70, 1_300, sharedPrompts = 1, mostPreemptingPercent = 2),
            Case("reviews of some kinds in a large deployment", 33, 12, 150, 1_300, sharedPrompts = 4, mostPreemptingPercent = 5),
            Case("a small deployment", 5, 3, 35, 200, sharedPrompts = 1, mostPreemptingPercent = 2),
        )

    private inner class Engine {
        private val endsMs = mutableListOf<Long>()
        private val usedAt = ArrayDeque<Int>()

        val running: Int get() = endsMs.size

        fun tick(nowMs: Long) {
            endsMs.removeIf { it <= nowMs }
            usedAt.addLast(endsMs.size)
            if (usedAt.size > REPORT_AGE_MS / TICK_MS) usedAt.removeFirst()
        }

        fun run(endMs: Long) {
            endsMs += endMs
        }

        /** What a keeper tells at this moment. */
        fun load() = KeeperMessage.Load(active = usedAt.first(), kvUsed = usedAt.first() * REVIEW_TOKENS)
    }

    private class Event(
        val atMs: Long,
        val action: () -> Unit,
    )

    /** What has happened to reviews; [preempting] came to an engine whose memory had no room for them. */
    private class Result(
        var sent: Int = 0,
        var preempting: Int = 0,
    )

    private inner class World(
        private val case: Case,
    ) {
        private val random = Random(SEED)
        private var nowMs = 10_000L
        private val events = PriorityQueue<Event>(compareBy { it.atMs })
        private val engines = List(case.engines) { Engine() }
        private val gateways = List(case.gateways) { Gateway(it) }
        val result = Result()

        private inner class Gateway(
            index: Int,
        ) {
            private val loop = EventLoop(Clock { nowMs })
            private val state = GatewayState()
            private val fleet = Fleet(loop, CoroutineScope(SupervisorJob()), "g$index", 1, state)
            private val selector = TargetSelector(loop.clock, fleet, place, state)
            private val targets: List<Target>

            init {
                val everyone = List(case.gateways) { "g$it" }
                engines.indices.forEach {
                    val entry =
                        TargetEntry(TargetId("t$it"), service, Address("127.0.0.1", 1 + it), ZoneId("z"), true, 64, 1, 1, emptyMap())
                    fleet.apply(TargetDirectory.Change.Put(entry))
                }
                targets =
                    fleet.ready(service).sortedBy {
                        it.entry.target.value
                            .drop(1)
                            .toInt()
                    }
                targets.forEach { it.update(KeeperMessage.Status(listOf(HeldModel("m", emptyList())), gateways = everyone)) }
                state.changed.raise()
                state.configuration = GatewayConfiguration(1, listOf(route), mapOf(service to ServicePlan(service, 9, plan)))
            }

            fun tell(engine: Int) = targets[engine].update(engines[engine].load())

            fun arrive(request: ForwardedRequest = review()) {
                when (val choice = runBlocking { selector.choose(request, emptyMap()) }) {
                    is TargetSelector.Choice.Use -> send(request, choice.target)
                    is TargetSelector.Choice.Later -> events += Event(nowMs + RETRY_MS) { arrive(request) }
                    is TargetSelector.Choice.None -> error(choice.reason)
                }
            }

            private fun send(
                request: ForwardedRequest,
                target: Target,
            ) {
                val engine = engines[targets.indexOf(target)]
                val send = Send("m", null, target.unreadTokens(request), wholePromptTokens = request.promptTokens)
                target.begin(send)
                target.prompts.add(request.weights, request.parts)
                engine.run(nowMs + STAY_MS)
                result.sent++
                if (engine.running * REVIEW_TOKENS > CAPACITY_TOKENS) result.preempting++
                events +=
                    Event(nowMs + FIRST_EVENT_MS) {
                        selector.learn(target, send)
                        send.answering = true
                    }
                events +=
                    Event(nowMs + STAY_MS) {
                        target.end(send)
                        state.work.record("m", send.promptTokens, STAY_MS)
                    }
            }
        }

        private fun review(): ForwardedRequest {
            val parts = "k${random.nextInt(case.sharedPrompts)}:6300,s${random.nextInt(SESSIONS)}:2890"
            val headers =
                listOf("Id" to "${random.nextLong()}", "Model" to "m", "Tokens" to "9190,51", "Parts" to parts).map {
                    HttpHeader(it.first, it.second)
                }
            return ForwardedRequest.of(RequestHead("POST", "/", HttpHeaders(headers)), ByteArray(0), route, nowMs, names)
        }

        fun play(): Result {
            val endMs = nowMs + DAY_MS
            gateways.forEach { gateway -> engines.indices.forEach { tellings(gateway, it, endMs) } }
            repeat(case.reviewsPerSecond * (DAY_MS / 1_000).toInt()) {
                events += Event(nowMs + random.nextLong(DAY_MS)) { gateways.random(random).arrive() }
            }
            while (nowMs < endMs + STAY_MS) {
                engines.forEach { it.tick(nowMs) }
                while (events.isNotEmpty() && events.peek().atMs <= nowMs) events.remove().action()
                nowMs += TICK_MS
            }
            return result
        }

        private fun tellings(
            gateway: Gateway,
            engine: Int,
            endMs: Long,
        ) = (nowMs + random.nextLong(case.tellingMs)..endMs step case.tellingMs).forEach { events += Event(it) { gateway.tell(engine) } }
    }

    @Test
    fun `reviews do not overfill the memory of one engine while others have room`() =
        cases.forEach { case ->
            val result = World(case).play()
            assertEquals(case.reviewsPerSecond * (DAY_MS / 1_000).toInt(), result.sent, case.pattern)
            val most = result.sent * case.mostPreemptingPercent / 100
            assertTrue(result.preempting <= most, "${case.pattern}: ${result.preempting} of ${result.sent} did not fit")
        }

    private companion object {
        const val SEED = 16
        const val CAPACITY_TOKENS = 232_000L
        const val REVIEW_TOKENS = 9_241L
        const val SESSIONS = 400
        const val DAY_MS = 20_000L
        const val TICK_MS = 10L
        const val FIRST_EVENT_MS = 200L
        const val STAY_MS = 1_200L
        const val REPORT_AGE_MS = 300L
        const val RETRY_MS = 100L
    }
}
