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

    /** A target with an engine that loads in [loadMs]; records what happened. */
    private inner class Bench(
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
            transition.effects.forEach { take(it) }
        }

        private fun take(effect: TargetEffect) {
            when (effect) {
                is TargetEffect.Send -> order(effect.order)
                is TargetEffect.Dispatch -> dispatched += effect.id.value
                is TargetEffect.Refuse -> refused[effect.id.value] = effect.reason
                is TargetEffect.Interrupt -> handle(TargetEvent.Finished(effect.id))
                is TargetEffect.GiveBack -> Unit
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
    fun `requests are refused before they run for a named reason`() {
        val cases =
            listOf<Triple<String, Bench.() -> Unit, RefusalReason>>(
                Triple("no right", { request("x", model = "c") }, RefusalReason.NO_RIGHT),
                Triple("too short", { request("x", timeoutMs = 200) }, RefusalReason.DEADLINE_TOO_SHORT),
                Triple("draining", { handle(TargetEvent.DrainRequested).also { request("x") } }, RefusalReason.LEAVING),
                Triple("drain ended", { request("x").also { handle(TargetEvent.DrainEnded) } }, RefusalReason.LEAVING),
                Triple("withdrawn", { request("x").also { handle(TargetEvent.Withdrawn(RequestId("x"))) } }, RefusalReason.CANCELLED),
                Triple("full", { repeat(5) { request("r$it", priority = 6) }.also { request("x") } }, RefusalReason.QUEUE_FULL),
            )
        cases.forEach { (name, act, expected) -> assertEquals(expected, Bench().apply(act).refused["x"], name) }
        assertEquals(RefusalReason.NO_MEMORY, Bench(memoryEachMb = 200).apply { request("x") }.refused["x"])
    }

    @Test
    fun `a waiting request is refused when its deadline passes`() {
        val bench = Bench()
        bench.request("busy-1")
        bench.request("busy-2")
        bench.runFor(1_000)
        bench.request("late", timeoutMs = 3_000)
        bench.runFor(3_100)
        assertEquals(RefusalReason.DEADLINE_PASSED, bench.refused["late"])
    }

    @Test
    fun `an idle model is unloaded and a busy one never is`() {
        val bench = Bench()
        bench.request("x")
        bench.runFor(20_000)
        assertEquals(listOf("x"), bench.dispatched)
        assertEquals(60, bench.state.reservedMb)
        bench.request("other", model = "b")
        bench.runFor(2_000)
        assertEquals(listOf("a"), bench.loads)
        bench.finish("x")
        bench.runFor(2_000)
        assertEquals(listOf("a", "b"), bench.loads)
        bench.finish("other")
        bench.runFor(6_000)
        assertEquals(0, bench.state.reservedMb)
    }

    @Test
    fun `two models that alternate in one slot are loaded once per minimum residency at most`() {
        val bench = Bench()
        var count = 0
        while (bench.nowMs < 60_000) {
            bench.request("r$count", model = if (count % 2 == 0) "a" else "b")
            count++
            bench.runFor(100)
            bench.state.running.keys
                .toList()
                .forEach { bench.finish(it.value) }
        }
        val bound = 60_000 / limits.minimumResidencyMs + 1
        assertTrue(bench.loads.size <= bound, "${bench.loads.size} loads in 60 s; the bound is $bound.")
        assertTrue(bench.refused.values.none { it != RefusalReason.QUEUE_FULL }, bench.refused.toString())
    }

    @Test
    fun `the lowest priority is served within the aging bound`() {
        val bench = Bench(names = listOf("a"))
        bench.request("low", priority = 0, timeoutMs = 300_000)
        var count = 0
        val boundMs = (9 - 0 + 1) * limits.agingMs + 1_000
        while ("low" !in bench.dispatched && bench.nowMs < 300_000) {
            while (bench.state.waiting.size < 4) bench.request("high${count++}", priority = 9, timeoutMs = 300_000)
            bench.state.running.keys
                .firstOrNull()
                ?.let { bench.finish(it.value) }
            bench.runFor(100)
        }
        assertTrue(bench.nowMs <= boundMs, "It was served after ${bench.nowMs} ms; the bound is $boundMs ms.")
    }

    @Test
    fun `an agent that no entry host reaches unloads everything and loads nothing`() {
        val bench = Bench()
        bench.request("x")
        bench.runFor(1_000)
        bench.finish("x")
        bench.nowMs += limits.fencingMs
        bench.handle(TargetEvent.Tick)
        bench.handle(
            TargetEvent.Arrived(
                WaitingRequest(
                    RequestId("y"),
                    ModelId("a"),
                    arrivedMs = bench.nowMs,
                    deadlineMs =
                        bench.nowMs + 60_000,
                ),
            ),
        )
        assertEquals(RefusalReason.NOT_READY, bench.refused["y"])
        assertEquals(listOf("a"), bench.loads)
        assertTrue(
            bench.state.residents.values
                .all { it.phase is ResidentPhase.Unloading },
            bench.state.residents.toString(),
        )
    }
}
