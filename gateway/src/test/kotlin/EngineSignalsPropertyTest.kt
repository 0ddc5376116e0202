package org.almondjunction.gateway

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.Address
import org.almondjunction.common.Metrics
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.common.VirtualClock
import org.almondjunction.common.ZoneId
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.network.EventLoop
import org.almondjunction.network.HttpHeader
import org.almondjunction.network.HttpHeaders
import org.almondjunction.network.ResponseHead
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Tests what the store, keepers and the engines' own answers say in any order against what the engines said themselves. */
class EngineSignalsPropertyTest {
    private val service = ServiceId("s")

    private val clock = VirtualClock(1_000)

    /** Shared by all histories, since each event loop holds descriptors; it never runs. */
    private val loop = EventLoop(clock)

    /** Reports of one history, applied to a registry, with the answers that engines gave in it. */
    private inner class History(
        private val random: Random,
    ) {
        private val state = GatewayState(CrashTracker(clock, "g"))
        private val registry = TargetRegistry(loop, CoroutineScope(SupervisorJob()), "g", 1, state)
        private val directory = TargetDirectory(clock) { registry.apply(it) }
        private val reader = SignalReader(clock, state, GatewayFixture.NAMES, Metrics())
        private val startedMs = LongArray(ENGINES) { 1 }
        private var sequence = 1L
        private val leaving = mutableSetOf<Pair<String, Long>>()
        private val waitUntilMs = mutableMapOf<Pair<String, Long>, Long>()

        /** Targets that requests in flight still hold, also after the directory has dropped them. */
        private val known = mutableSetOf<Target>()
        var offered = 0
            private set

        private fun entry(index: Int) =
            TargetEntry(
                TargetId("t$index"),
                service,
                Address("127.0.0.1", 1 + index),
                ZoneId("z"),
                random.nextInt(4) > 0,
                4,
                startedMs[index],
                ++sequence,
                emptyMap(),
            )

        fun step() {
            val index = random.nextInt(ENGINES)
            when (random.nextInt(8)) {
                0, 1 -> directory.put(entry(index))
                2 -> directory.remove(TargetId("t$index"), keepUntilMs = if (random.nextBoolean()) null else clock.nowMs() + 2_000)
                3 ->
                    directory.replaceAll(
                        (0 until ENGINES).filter { random.nextBoolean() }.map { entry(it) },
                        keepUntilMs = if (random.nextBoolean()) null else clock.nowMs() + 2_000,
                    )
                4 -> known.randomOrNull(random)?.update(KeeperMessage.Status(models = emptyList(), engineReachable = random.nextInt(4) > 0))
                5 -> if (random.nextInt(4) == 0) startedMs[index]++
                6 -> known.randomOrNull(random)?.let { answer(it) }
                else -> clock.advanceBy(random.nextLong(1_500)).also { directory.expire() }
            }
            check()
        }

        private fun answer(target: Target) {
            val identity = target.entry.target.value to target.entry.startedMs
            val headers = mutableListOf<HttpHeader>()
            if (random.nextInt(4) == 0) {
                headers += HttpHeader("server-leaving", "1")
                leaving += identity
            }
            val status = listOf(200, 500, 503).random(random)
            if (random.nextBoolean()) {
                val waitMs = random.nextLong(5_000)
                headers += HttpHeader("retry-after", "${waitMs / 1_000.0}")
                if (status == 503) waitUntilMs.merge(identity, clock.nowMs() + waitMs) { a, b -> maxOf(a, b) }
            }
            reader.read(target, ResponseHead(status, HttpHeaders(headers)))
        }

        private fun check() {
            val ready = registry.ready(service)
            known += ready
            offered += ready.size
            ready.forEach { target ->
                val identity = target.entry.target.value to target.entry.startedMs
                assertTrue(identity !in leaving, "$identity is leaving")
                assertTrue(clock.nowMs() >= (waitUntilMs[identity] ?: 0), "$identity asked to wait")
            }
        }
    }

    @Test
    fun `whatever store and keepers report later, no engine is offered against its own word`() =
        runBlocking<Unit> {
            var offered = 0
            checkAll(PropTestConfig(seed = 90_331, iterations = 300), Arb.long()) { seed ->
                val history = History(Random(seed))
                repeat(200) { history.step() }
                offered += history.offered
            }
            assertTrue(offered > 10_000, "only $offered offers were checked")
        }

    private companion object {
        const val ENGINES = 3
    }
}
