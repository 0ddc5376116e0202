package org.almondjunction.decisions

import org.almondjunction.common.ModelId
import org.almondjunction.common.RefusalReason
import org.almondjunction.common.RequestId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TargetMachineTest {
    private val limits = TargetLimits(maximumRunning = 2, maximumWaiting = 5, minimumResidencyMs = 2_000)

    /** Simulates a target with an engine that loads in [loadMs], and records the effects. */
    private inner class Simulation(
        names: List<String> = listOf("a", "b"),
        private val memoryEachMb: Long = 60,
        private val loadMs: Long = 500,
    ) {
        private val machine = TargetMachine(limits, ResidencyPolicy.FixedIdleTime(idleMs = 5_000))
        private val loading = mutableMapOf<ResidentKey, Long>()
        private val loaded = mutableSetOf<ResidentKey>()
        var nowMs = 0L
        var state = TargetState(memoryMb = 100, startedMs = 0)
        val dispatched = mutableListOf<String>()
        val refused = mutableMapOf<String, RefusalReason>()
        val loads = mutableListOf<String>()

        init {
            val offers = names.map { ModelOffer(ModelId(it), ServiceId("s"), "1", memoryEachMb) }
            val rights = names.mapIndexed { index, name -> Right(ModelId(name), rank = 0, TargetId("t"), epoch = index + 1L) }
            handle(TargetEvent.StateReceived(1, 1, offers, rights, confirmed = true))
            runFor(limits.orderSettleMs + 100)
        }

        fun handle(event: TargetEvent) {
            val transition = machine.handle(state, event, nowMs)
            state = transition.state
            transition.effects.forEach { perform(it) }
        }

        private fun perform(effect: TargetEffect) {
            when (effect) {
                is TargetEffect.Send -> order(effect.order)
                is TargetEffect.Dispatch -> dispatched += effect.id.value
                is TargetEffect.Refuse -> refused[effect.id.value] = effect.reason
                is TargetEffect.Interrupt -> handle(TargetEvent.Finished(effect.id))
                is TargetEffect.ReleaseRights -> Unit
            }
        }

        private fun order(order: Order) {
            when (order) {
                is Order.Load -> loading[order.key] = nowMs + loadMs
                is Order.Unload -> loaded -= order.key
            }
            if (order is Order.Load) loads += order.key.model.value
            handle(TargetEvent.OrderReplied(order, OrderReply.ACCEPTED))
        }

        fun request(
            id: String,
            model: String = "a",
            priority: Int = 5,
            timeoutMs: Long = 60_000,
        ) = handle(
            TargetEvent.Arrived(
                WaitingRequest(
                    RequestId(id),
                    ModelId(model),
                    priority = priority,
                    arrivedMs = nowMs,
                    deadlineMs =
                        nowMs + timeoutMs,
                ),
            ),
        )

        fun finish(id: String) = handle(TargetEvent.Finished(RequestId(id)))

        fun runFor(durationMs: Long) {
            val endMs = nowMs + durationMs
            while (nowMs < endMs) {
                nowMs += 50
                val ready = loading.filterValues { it <= nowMs }.keys
                loaded += ready
                loading -= ready
                val report =
                    loaded.map { ReportedResident(it, memoryEachMb, false) } + loading.keys.map { ReportedResident(it, memoryEachMb, true) }
                handle(TargetEvent.Reported(EngineReport(report), requestedMs = nowMs))
                handle(TargetEvent.Contact)
            }
        }
    }

    @Test
    fun `requests are refused with the reason before they run`() {
        val cases =
            listOf<Triple<String, Simulation.() -> Unit, RefusalReason>>(
                Triple("no right", { request("x", model = "c") }, RefusalReason.NO_RIGHT),
                Triple("too short", { request("x", timeoutMs = 200) }, RefusalReason.DEADLINE_TOO_SHORT),
                Triple("draining", { handle(TargetEvent.DrainRequested).also { request("x") } }, RefusalReason.LEAVING),
                Triple("drain ended", { request("x").also { handle(TargetEvent.DrainEnded) } }, RefusalReason.LEAVING),
                Triple("withdrawn", { request("x").also { handle(TargetEvent.Withdrawn(RequestId("x"))) } }, RefusalReason.CANCELLED),
                Triple("full", { repeat(5) { request("r$it", priority = 6) }.also { request("x") } }, RefusalReason.QUEUE_FULL),
            )
        cases.forEach { (name, act, expected) -> assertEquals(expected, Simulation().apply(act).refused["x"], name) }
        assertEquals(RefusalReason.NO_MEMORY, Simulation(memoryEachMb = 200).apply { request("x") }.refused["x"])
    }

    @Test
    fun `a waiting request is refused when its deadline passes`() {
        val simulation = Simulation()
        simulation.request("busy-1")
        simulation.request("busy-2")
        simulation.runFor(1_000)
        simulation.request("late", timeoutMs = 3_000)
        simulation.runFor(3_100)
        assertEquals(RefusalReason.DEADLINE_PASSED, simulation.refused["late"])
    }

    @Test
    fun `an idle model is unloaded and a busy one never is`() {
        val simulation = Simulation()
        simulation.request("x")
        simulation.runFor(20_000)
        assertEquals(listOf("x"), simulation.dispatched)
        assertEquals(60, simulation.state.reservedMb)
        simulation.request("other", model = "b")
        simulation.runFor(2_000)
        assertEquals(listOf("a"), simulation.loads)
        simulation.finish("x")
        simulation.runFor(2_000)
        assertEquals(listOf("a", "b"), simulation.loads)
        simulation.finish("other")
        simulation.runFor(6_000)
        assertEquals(0, simulation.state.reservedMb)
    }

    @Test
    fun `two models that alternate in one slot are loaded once per minimum residency at most`() {
        val simulation = Simulation()
        var count = 0
        while (simulation.nowMs < 60_000) {
            simulation.request("r$count", model = if (count % 2 == 0) "a" else "b")
            count++
            simulation.runFor(100)
            simulation.state.running.keys
                .toList()
                .forEach { simulation.finish(it.value) }
        }
        val bound = 60_000 / limits.minimumResidencyMs + 1
        assertTrue(simulation.loads.size <= bound, "${simulation.loads.size} loads in 60 s; the bound is $bound.")
        assertTrue(simulation.refused.values.none { it != RefusalReason.QUEUE_FULL }, simulation.refused.toString())
    }

    @Test
    fun `the lowest priority is served within the aging bound`() {
        val simulation = Simulation(names = listOf("a"))
        simulation.request("low", priority = 0, timeoutMs = 300_000)
        var count = 0
        val boundMs = (9 - 0 + 1) * limits.agingMs + 1_000
        while ("low" !in simulation.dispatched && simulation.nowMs < 300_000) {
            while (simulation.state.waiting.size < 4) simulation.request("high${count++}", priority = 9, timeoutMs = 300_000)
            simulation.state.running.keys
                .firstOrNull()
                ?.let { simulation.finish(it.value) }
            simulation.runFor(100)
        }
        assertTrue(simulation.nowMs <= boundMs, "It was served after ${simulation.nowMs} ms; the bound is $boundMs ms.")
    }

    @Test
    fun `an agent without contact to any entry host unloads everything and loads nothing`() {
        val simulation = Simulation()
        simulation.request("x")
        simulation.runFor(1_000)
        simulation.finish("x")
        simulation.nowMs += limits.fencingMs
        simulation.handle(TargetEvent.Tick)
        simulation.handle(
            TargetEvent.Arrived(
                WaitingRequest(
                    RequestId("y"),
                    ModelId("a"),
                    arrivedMs = simulation.nowMs,
                    deadlineMs =
                        simulation.nowMs + 60_000,
                ),
            ),
        )
        assertEquals(RefusalReason.NOT_READY, simulation.refused["y"])
        assertEquals(listOf("a"), simulation.loads)
        assertTrue(
            simulation.state.residents.values
                .all { it.phase is ResidentPhase.Unloading },
            simulation.state.residents.toString(),
        )
    }
}
