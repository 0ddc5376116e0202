package org.almondjunction.gateway

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.Address
import org.almondjunction.common.Clock
import org.almondjunction.common.Location
import org.almondjunction.common.RegionId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.common.ZoneId
import org.almondjunction.decisions.PlainWork
import org.almondjunction.decisions.ReadingSpeed
import org.almondjunction.decisions.RepeatKind
import org.almondjunction.network.EventLoop
import org.almondjunction.network.HttpHeader
import org.almondjunction.network.HttpHeaders
import org.almondjunction.network.RequestHead
import kotlin.math.abs
import kotlin.math.roundToLong
import kotlin.test.Test
import kotlin.test.assertEquals

/** Two targets, one near and one in another region, at sites whose targets work at any speed. Nothing is sent. */
class ChoiceFollowsAnswersTest {
    private val names =
        HeaderNames("Id", "Deadline", "Model", "Tokens", "Parts", "Last", "Signature", "Target", "Answering", "Not", "Urgency", emptySet())
    private val service = ServiceId("s")
    private val route =
        Route("r", "h", "/", RepeatKind.RESUMABLE, true, listOf(Destination(service, 1.0)), 20_000, 2_000, 0, maximumTargets = 2)
    private val regions = mapOf(ZoneId("near") to RegionId("r"), ZoneId("far") to RegionId("other"))
    private val place = Place(Location(RegionId("r"), ZoneId("near")), regions)
    private val wayMs = 2 * (place.distanceMs(ZoneId("far")) - place.distanceMs(ZoneId("near")))

    private inner class World {
        var nowMs = 1_000L
        val loop = EventLoop(Clock { nowMs })
        val state = GatewayState()
        val fleet = Fleet(loop, CoroutineScope(SupervisorJob()), "g", 1, state)
        val selector = TargetSelector(loop.clock, fleet, place, state)
        val near = target("near", 1)
        val far = target("far", 2)

        private fun target(
            zone: String,
            port: Int,
        ): Target {
            val models = mapOf("m" to emptySet<String>())
            val entry = TargetEntry(TargetId(zone), service, Address("127.0.0.1", port), ZoneId(zone), true, PLACES, 1, 1, models)
            fleet.apply(TargetDirectory.Change.Put(entry))
            return fleet.ready(service).first { it.entry.target.value == zone }
        }

        fun request(
            vararg headers: HttpHeader,
            objectiveMs: Long = route.latencyObjectiveMs,
        ): ForwardedRequest {
            val head = RequestHead("POST", "/", HttpHeaders(headers.toList()))
            return ForwardedRequest.of(head, ByteArray(0), route.copy(latencyObjectiveMs = objectiveMs), nowMs, names)
        }

        /** Both targets answer some requests, each [workMs] after it came there. */
        fun answers(
            model: String?,
            promptTokens: Long,
            workMs: Double,
        ) = repeat(ANSWERS) {
            listOf(near, far).forEach { target ->
                val send = Send(model, adapter = null, promptTokens = promptTokens)
                target.begin(send)
                nowMs += (2 * place.distanceMs(target.entry.zone) + workMs).roundToLong()
                selector.learn(target, send)
                target.end(send)
            }
        }

        fun choice(request: ForwardedRequest): String =
            when (val choice = runBlocking { selector.choose(request, emptyMap()) }) {
                is TargetSelector.Choice.Use -> choice.target.entry.target.value
                is TargetSelector.Choice.Later -> "later"
                is TargetSelector.Choice.None -> choice.reason
            }
    }

    /** Neither is clearly better within the error of the estimates. */
    private fun isNear(
        savedMs: Double,
        costMs: Double,
    ) = abs(savedMs - costMs) < NEAR_TIE_MS + costMs * NEAR_TIE_SHARE

    @Test
    fun `a prompt that is kept in another region is worth the way there as fast as targets read`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 15, iterations = 300), Arb.double(0.25, 4.0), Arb.long(200L, 6_000L)) { factor, keptTokens ->
                val tokensPerMs = ReadingSpeed.PRIOR_TOKENS_PER_MS * factor
                val savedMs = keptTokens / tokensPerMs
                if (isNear(savedMs, wayMs)) return@checkAll
                val world = World()
                world.answers("m", promptTokens = 8_000, workMs = 8_000 / tokensPerMs)
                world.far.prompts.add("m", listOf(PromptPart("p", keptTokens)))
                val request =
                    world.request(
                        HttpHeader(names.model, "m"),
                        HttpHeader(names.tokens, "$keptTokens,1"),
                        HttpHeader(names.promptParts, "p:$keptTokens"),
                    )
                assertEquals(if (savedMs > wayMs) "far" else "near", world.choice(request), "$keptTokens tokens, $tokensPerMs in a ms")
            }
        }

    @Test
    fun `a queue of plain requests is left for another region as long as it lasts`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 15, iterations = 300), Arb.double(0.25, 4.0), Arb.int(0..2 * PLACES - 1)) { factor, inFlight ->
                val workMs = PlainWork.PRIOR_MS * factor
                val beyond = (inFlight + 1 - PLACES).coerceAtLeast(0)
                val queueMs = (beyond.toDouble() / PLACES + inFlight * SHARE_OF_BUSY) * workMs
                if (isNear(queueMs, wayMs)) return@checkAll
                val world = World()
                world.answers(model = null, promptTokens = 0, workMs = workMs)
                repeat(inFlight) { world.near.begin(Send(model = null, adapter = null, promptTokens = 0)) }
                assertEquals(if (queueMs > wayMs) "far" else "near", world.choice(world.request()), "$inFlight requests of $workMs ms")
            }
        }

    @Test
    fun `a target that failed is left for another region as soon as callers want their answers`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 15, iterations = 300), Arb.long(25L, 2_500L)) { objectiveMs ->
                val world = World()
                world.near.weigh(failed = true)
                val costMs = world.near.failureShare() * objectiveMs
                if (isNear(costMs, wayMs)) return@checkAll
                val choice = world.choice(world.request(objectiveMs = objectiveMs))
                assertEquals(if (costMs > wayMs) "far" else "near", choice, "answers wanted within $objectiveMs ms")
            }
        }

    @Test
    fun `a target that has turned slow is left`() {
        val world = World()
        world.answers(model = null, promptTokens = 0, workMs = 40.0)
        repeat(ANSWERS) {
            val send = Send(model = null, adapter = null, promptTokens = 0)
            world.near.begin(send)
            world.nowMs += 200
            world.selector.learn(world.near, send)
            world.near.end(send)
        }
        assertEquals("far", world.choice(world.request()))
    }

    private companion object {
        const val PLACES = 6
        const val ANSWERS = 10
        const val NEAR_TIE_MS = 9.0
        const val NEAR_TIE_SHARE = 0.1

        /** Preference for the less busy of two targets with free places, as a part of a request's work. */
        const val SHARE_OF_BUSY = 0.1
    }
}
