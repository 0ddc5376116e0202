package org.almondjunction.decisions

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.Outcome
import org.almondjunction.common.RefusalReason
import org.almondjunction.common.RequestId
import org.almondjunction.common.TargetId
import org.almondjunction.common.UnknownReason
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Simulates an entry host, agents and a network that loses, delays, duplicates and disconnects, and compares every outcome with what the
 * targets ran.
 */
class RequestOutcomeTest {
    private enum class Kind { START, RESUME, WITHDRAW }

    private class Packet(
        val kind: Kind,
        val incarnation: Int,
        val arriveMs: Long,
    )

    /** One agent with its registry; a kill clears the registry, but not the number of runs at its target. */
    private class Agent {
        var incarnation = 0
        var registry = RequestRegistry()
        var waiting = false
        var running = false
        var runs = 0
        val inbox = mutableListOf<Packet>()
        val answers = mutableListOf<Pair<Long, RequestEvent>>()

        fun kill() {
            incarnation++
            registry = RequestRegistry()
            waiting = false
            running = false
            inbox.clear()
            answers.clear()
        }
    }

    private class Simulation(
        private val random: Random,
        private val repeatable: Boolean,
        private val processEndsMs: Long = Long.MAX_VALUE / 2,
    ) {
        val agents = List(3) { Agent() }
        private val id = RequestId("r")
        private val deadlineMs = random.nextLong(500, 6_000)
        private val machine = RequestMachine(agents.indices.map { TargetId(it.toString()) }, repeatable)
        private var nowMs = 0L
        private var current = -1
        private var sentToIncarnation = 0
        private var silentUntilMs = 0L
        private var withdrawn = false
        var outcome: Outcome? = null
        var endedMs = 0L
        val answered = mutableSetOf<Int>()

        fun run() {
            perform(machine.start())
            while (outcome == null) tick()
            endedMs = nowMs
            repeat(400) { tickAgents() }
        }

        private fun perform(step: RequestStep) {
            when (step) {
                is RequestStep.Send -> send(step.target.value.toInt())
                RequestStep.Withdraw -> post(Kind.WITHDRAW)
                RequestStep.Wait -> Unit
                is RequestStep.Conclude -> outcome = step.outcome
            }
        }

        private fun send(target: Int) {
            if (ending()) return perform(machine.next(RequestEvent.GivenUp))
            current = target
            sentToIncarnation = agents[target].incarnation
            if (random.nextInt(8) == 0) return perform(machine.next(RequestEvent.NotSent))
            post(Kind.START)
            if (random.nextInt(6) == 0) post(Kind.START)
        }

        /** A connection may be silent for long; data written to it can still arrive later, unless the process is killed. */
        private fun post(kind: Kind) {
            val delayMs = if (random.nextInt(6) == 0) random.nextLong(1_000, 20_000) else random.nextLong(50)
            agents[current].inbox += Packet(kind, sentToIncarnation, nowMs + delayMs)
            if (delayMs > 1_000) silentUntilMs = nowMs + 1_500
        }

        private fun tick() {
            tickAgents()
            if (random.nextInt(200) == 0) agents.random(random).kill()
            val agent = agents[current]
            when {
                nowMs >= deadlineMs -> perform(machine.next(RequestEvent.DeadlinePassed))
                nowMs >= processEndsMs + MARGIN_MS -> perform(machine.next(RequestEvent.Interrupted))
                (ending() || nowMs >= deadlineMs - MARGIN_MS) && !withdrawn -> {
                    withdrawn = true
                    perform(machine.next(RequestEvent.DeadlineNear))
                }
                agent.incarnation != sentToIncarnation -> perform(machine.next(RequestEvent.Lost))
                silentUntilMs in 1..nowMs -> {
                    silentUntilMs = 0
                    post(Kind.RESUME)
                }
                else -> receive(agent)
            }
        }

        private fun receive(agent: Agent) {
            val answer = agent.answers.firstOrNull { it.first <= nowMs } ?: return
            agent.answers.remove(answer)
            if (answer.second == RequestEvent.Completed) answered += current
            val givenUp = ending() && answer.second is RequestEvent.Refused
            perform(machine.next(if (givenUp) RequestEvent.GivenUp else answer.second))
        }

        private fun ending() = nowMs >= processEndsMs

        private fun tickAgents() {
            nowMs += 25
            agents.forEach { agent ->
                agent.inbox.filter { it.arriveMs <= nowMs }.forEach { packet ->
                    agent.inbox.remove(packet)
                    if (packet.incarnation == agent.incarnation) handle(agent, packet.kind)
                }
                advance(agent)
            }
        }

        private fun handle(
            agent: Agent,
            kind: Kind,
        ) {
            when (kind) {
                Kind.START -> if (agent.registry.register(id, nowMs) == RequestRecord.NEW) agent.waiting = true
                Kind.RESUME -> if (!agent.waiting && !agent.running) resumeUnknown(agent)
                Kind.WITHDRAW ->
                    if (agent.waiting || agent.registry.find(id) != RequestRecord.KNOWN) refuse(agent, RefusalReason.DEADLINE_PASSED)
            }
        }

        private fun resumeUnknown(agent: Agent) {
            if (agent.registry.find(id) == RequestRecord.KNOWN) return
            refuse(agent, RefusalReason.NO_TARGET)
        }

        private fun refuse(
            agent: Agent,
            reason: RefusalReason,
        ) {
            agent.waiting = false
            agent.registry.refuse(id, nowMs)
            answer(agent, RequestEvent.Refused(reason))
        }

        private fun advance(agent: Agent) {
            when {
                agent.waiting &&
                    random.nextInt(
                        20,
                    ) == 0 -> refuse(agent, listOf(RefusalReason.QUEUE_FULL, RefusalReason.LEAVING).random(random))
                agent.waiting && random.nextInt(20) == 0 -> {
                    agent.waiting = false
                    agent.running = true
                    agent.runs++
                }
                agent.running && random.nextInt(20) == 0 -> {
                    agent.running = false
                    agent.registry.end(id, nowMs)
                    val failed = random.nextInt(5) == 0
                    answer(agent, if (failed) RequestEvent.Failed(UnknownReason.ANSWER_INCOMPLETE) else RequestEvent.Completed)
                }
            }
        }

        private fun answer(
            agent: Agent,
            event: RequestEvent,
        ) {
            if (random.nextInt(6) > 0) agent.answers += nowMs + random.nextLong(100) to event
        }

        fun verify() {
            val runs = agents.sumOf { it.runs }
            assertTrue(endedMs <= deadlineMs + MARGIN_MS, "The request ended at $endedMs ms, after its deadline $deadlineMs ms.")
            assertTrue(endedMs <= processEndsMs + 2 * MARGIN_MS, "The request ended at $endedMs ms, after its process.")
            if (!repeatable) assertTrue(runs <= 1, "A request that may not be repeated ran $runs times.")
            when (val ended = checkNotNull(outcome)) {
                Outcome.Served -> assertEquals(setOf(current), answered)
                is Outcome.NotRun -> assertEquals(0, runs, "It was reported as not run: $ended")
                is Outcome.Unknown -> Unit
            }
        }
    }

    @Test
    fun `every request has one correct outcome in time and runs at most once unless it is repeatable`() =
        runBlocking<Unit> {
            val seen = mutableMapOf<String, Int>()
            checkAll(PropTestConfig(seed = 5_101, iterations = 20_000), Arb.long()) { seed ->
                val random = Random(seed)
                val simulation = Simulation(random, repeatable = random.nextBoolean())
                simulation.run()
                simulation.verify()
                seen.merge(checkNotNull(simulation.outcome).headerValue, 1, Int::plus)
            }
            assertTrue(seen.keys.size == 3 && seen.values.all { it > 500 }, "The schedules reach too few outcomes: $seen")
        }

    /** Guards against the outcome "not run" for a request that runs, when its process ends before its deadline. */
    @Test
    fun `a request has one correct outcome even if its process ends`() =
        runBlocking<Unit> {
            val seen = mutableMapOf<String, Int>()
            checkAll(PropTestConfig(seed = 5_102, iterations = 20_000), Arb.long()) { seed ->
                val random = Random(seed)
                val simulation = Simulation(random, repeatable = random.nextBoolean(), processEndsMs = random.nextLong(1_000))
                simulation.run()
                simulation.verify()
                seen.merge(checkNotNull(simulation.outcome).headerValue, 1, Int::plus)
            }
            assertTrue(seen.keys.size == 3 && seen.values.all { it > 500 }, "The schedules reach too few outcomes: $seen")
        }

    private companion object {
        const val MARGIN_MS = 300L
    }
}
