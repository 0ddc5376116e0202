package org.almondjunction.keeper

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Address
import org.almondjunction.common.Clock
import org.almondjunction.common.SystemClock
import org.almondjunction.network.EventLoop
import org.almondjunction.network.TcpConnection
import org.almondjunction.network.TcpListener
import org.almondjunction.network.processScope
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** An engine in memory that judges every order; orders may be lost before or after they take effect, or take effect late. */
private class FakeEngine(
    private val random: Random,
    private val scope: CoroutineScope,
    private val clock: Clock,
) : EngineControl {
    val held = mutableMapOf("m1" to mutableSetOf<String>())
    val faults = mutableListOf<String>()
    var orders = 0

    /** Models with requests in progress; none of them may be unloaded before. */
    var inUse = emptySet<String>()

    /** The shortest time for which an adapter stayed, in milliseconds. */
    var shortestStayMs = Long.MAX_VALUE
    private val loadedMs = mutableMapOf<Pair<String, String>, Long>()
    private var sequence = 0L
    private var busy = false
    private var fence = 0L

    override suspend fun report() = EngineSnapshot(held.mapValues { it.value.toSet() }, busy, sequence, onDisk = listOf("m1", "m2", "m3"))

    override suspend fun order(order: EngineOrder): EngineOrderReply {
        orders++
        if (order.fence < fence) return EngineOrderReply.FENCED
        return when (random.nextInt(4)) {
            0 -> EngineOrderReply.LOST
            1 -> {
                scope.launch {
                    delay(random.nextLong(1, 60))
                    take(order)
                }
                EngineOrderReply.LOST
            }
            else -> take(order)
        }
    }

    private fun take(order: EngineOrder): EngineOrderReply {
        if (busy || order.expectedSequence != sequence) return EngineOrderReply.CONFLICT
        sequence++
        fence = order.fence
        val adapter = order.adapter
        when {
            order.kind == EngineOrder.Kind.UNLOAD && adapter == null -> unload(order.model)
            order.kind == EngineOrder.Kind.UNLOAD -> unload(order.model, checkNotNull(adapter))
            adapter != null -> load(order.model, adapter)
            else -> load(order.model)
        }
        if (held.size * MODEL_MB > MEMORY_MB) faults += "holds ${held.keys}"
        if (held.values.sumOf { it.size } > SLOTS) faults += "too many adapters: $held"
        return EngineOrderReply.ACCEPTED
    }

    private fun load(
        model: String,
        adapter: String,
    ) {
        loadedMs[model to adapter] = clock.nowMs()
        held[model]?.add(adapter) ?: faults.add("adapter without its model")
    }

    private fun unload(model: String) {
        if (model in inUse) faults += "unloaded $model while in use"
        held -= model
    }

    private fun unload(
        model: String,
        adapter: String,
    ) {
        if (held[model]?.remove(adapter) ==
            true
        ) {
            shortestStayMs = minOf(shortestStayMs, clock.nowMs() - loadedMs.getValue(model to adapter))
        }
    }

    private fun load(model: String) {
        busy = true
        if ((held.size + 1) * MODEL_MB > MEMORY_MB) faults += "ordered to load $model beside ${held.keys}"
        scope.launch {
            delay(5)
            held[model] = mutableSetOf()
            busy = false
        }
    }

    companion object {
        const val MODEL_MB = 40L
        const val MEMORY_MB = 100L
        const val SLOTS = 2

        /** Time in which gateways tell of a request for what was just loaded, in milliseconds. */
        const val TOLD_MS = 500L
    }
}

/** A clock on which no two readings are more than [longestStepMs] apart, so that a machine that stalls does not end a wait. */
private class UnhurriedClock(
    private val longestStepMs: Long = 20,
) : Clock {
    private var lastMs = SystemClock.nowMs()
    private var nowMs = 0L

    override fun nowMs(): Long {
        val systemMs = SystemClock.nowMs()
        nowMs += (systemMs - lastMs).coerceIn(0, longestStepMs)
        lastMs = systemMs
        return nowMs
    }
}

/** A clock that fails once while a status is made, as an exhausted stack or heap may. */
private class FailingClock : Clock {
    var failing = false
    var failures = 0

    override fun nowMs(): Long {
        if (failing && StackWalker.getInstance().walk { frames -> frames.anyMatch { it.methodName == "statusFor" } }) {
            failing = false
            failures++
            throw OutOfMemoryError("no heap")
        }
        return SystemClock.nowMs()
    }
}

class KeeperTest {
    private fun wish(
        model: String,
        adapter: String? = null,
    ) = KeeperMessage.LoadRequest(
        target = "t",
        model = model,
        adapter = adapter,
        timeoutMs = 2_000,
        mayEvict = true,
        memoryMb = FakeEngine.MEMORY_MB,
        adapterSlots = FakeEngine.SLOTS,
        sizes = listOf("m1", "m2", "m3").map { ModelSize(it, FakeEngine.MODEL_MB, 1) },
    )

    /** Plays wishes of two gateways over loopback until each has seen [wanted] in a status. */
    private fun play(
        seed: Int,
        wishes: List<KeeperMessage.LoadRequest>,
        wanted: (KeeperMessage.Status) -> Boolean,
    ): FakeEngine =
        withKeeper(seed) { loop, port, _ ->
            val gateways = List(2) { index -> launch { gateway(loop, port, "g$index", wishes, wanted) } }
            gateways.forEach { it.join() }
        }

    /** Runs [gateways] against a keeper on loopback until they end, and returns its engine. */
    private fun withKeeper(
        seed: Int,
        clock: Clock = SystemClock,
        gateways: suspend CoroutineScope.(loop: EventLoop, port: Int, engine: FakeEngine) -> Unit,
    ): FakeEngine {
        val loop = EventLoop(clock)
        val scope = processScope(loop)
        val engine = FakeEngine(Random(seed), scope, loop.clock)
        val keeper = Keeper(scope, loop.clock, engine, firstFence = 7)
        val listener = TcpListener(loop, Address("127.0.0.1", 0)) { keeper.accept(it) }
        keeper.start()
        scope.launch {
            gateways(loop, listener.port, engine)
            loop.stop()
        }
        loop.run()
        listener.close()
        return engine
    }

    private suspend fun CoroutineScope.gateway(
        loop: EventLoop,
        port: Int,
        name: String,
        wishes: List<KeeperMessage.LoadRequest>,
        wanted: (KeeperMessage.Status) -> Boolean,
    ) {
        val connection = checkNotNull(TcpConnection.dial(loop, Address("127.0.0.1", port), 10_000))
        val channel = MessageChannel(connection)
        channel.send(KeeperMessage.Greeting(name))
        val asking: Job =
            launch {
                while (true) {
                    wishes.forEach { channel.send(it) }
                    delay(20)
                }
            }
        var gateways: List<String>? = null
        while (true) {
            val status = channel.receive() as? KeeperMessage.Status ?: continue
            gateways = status.gateways ?: gateways
            if (wanted(status.copy(gateways = gateways))) break
        }
        asking.cancel()
    }

    @Test
    fun `orders that are lost or carried out late never overfill the engine`() {
        for (seed in 1..6) {
            val wishes = listOf(wish("m2"), wish("m2", "a1"), wish("m2", "a2"), wish("m2", "a3"), wish("m3"))
            val engine = play(seed, wishes) { status -> status.models.any { it.model == "m3" } }
            assertEquals(emptyList(), engine.faults, "seed $seed")
        }
    }

    @Test
    fun `an adapter that was just loaded for callers does not make way for the next one`() {
        for (seed in 1..3) {
            val wishes = listOf("a1", "a2", "a3").map { wish("m1", it) }
            val engine = play(seed, wishes) { status -> status.models.any { "a3" in it.adapters } }
            assertTrue(engine.shortestStayMs >= FakeEngine.TOLD_MS, "seed $seed: an adapter stayed for ${engine.shortestStayMs} ms")
        }
    }

    @Test
    fun `rare models at once - a model in use takes no new requests and makes way when its last one ends`() {
        for (seed in 1..3) {
            val engine = withKeeper(seed, UnhurriedClock()) { loop, port, engine -> useAndEnd(loop, port, engine) }
            assertEquals(emptyList(), engine.faults, "seed $seed")
        }
    }

    /** A gateway with requests on `m1` and `m2` that end once one of them is to make way for `m3`; returns when that is held. */
    private suspend fun CoroutineScope.useAndEnd(
        loop: EventLoop,
        port: Int,
        engine: FakeEngine,
    ) {
        engine.held["m2"] = mutableSetOf()
        engine.inUse = setOf("m1", "m2")
        val channel = MessageChannel(checkNotNull(TcpConnection.dial(loop, Address("127.0.0.1", port), 10_000)))
        channel.send(KeeperMessage.Greeting("g"))
        channel.send(KeeperMessage.Usage(listOf("m1", "m2").map { Use(it, null, 1, inFlight = 1) }))
        val asking =
            launch {
                while (true) {
                    channel.send(wish("m3"))
                    delay(20)
                }
            }
        while (true) {
            val status = channel.receive() as? KeeperMessage.Status ?: continue
            if (status.models.any { it.model == "m3" }) break
            if (status.draining.isEmpty() || engine.inUse.isEmpty()) continue
            engine.inUse = emptySet()
            channel.send(KeeperMessage.Usage(listOf("m1", "m2").map { Use(it, null, 0, inFlight = 0) }))
        }
        asking.cancel()
    }

    @Test
    fun `each telling of uses is answered, so that a gateway notices an engine that is gone with its host`() {
        var answers = 0
        withKeeper(seed = 1) { loop, port, _ ->
            val channel = MessageChannel(checkNotNull(TcpConnection.dial(loop, Address("127.0.0.1", port), NEVER_MS)))
            channel.send(KeeperMessage.Greeting("g"))
            withTimeoutOrNull(NEVER_MS) {
                while (channel.receive() as? KeeperMessage.Status == null) continue
                repeat(TELLINGS) {
                    channel.send(KeeperMessage.Usage(listOf(Use("m1", null, count = 0, inFlight = 1))))
                    if (channel.receive() != null) answers++
                }
            }
        }
        assertEquals(TELLINGS, answers)
    }

    @Test
    fun `rates of use are told again and again, also while each telling of uses is answered with the load alone`() {
        val rates = mutableListOf<Float>()
        withKeeper(seed = 1, UnhurriedClock()) { loop, port, _ ->
            val channel = MessageChannel(checkNotNull(TcpConnection.dial(loop, Address("127.0.0.1", port), NEVER_MS)))
            channel.send(KeeperMessage.Greeting("g"))
            val telling =
                launch {
                    while (true) {
                        channel.send(KeeperMessage.Usage(listOf(Use("m1", null, count = 1, inFlight = 1))))
                        delay(100)
                    }
                }
            withTimeoutOrNull(NEVER_MS) {
                while (rates.count { it > 0 } < STATUSES) {
                    val status = channel.receive() as? KeeperMessage.Status ?: continue
                    rates += status.models.map { it.requestsPerSecond }
                }
            }
            telling.cancel()
        }
        assertEquals(STATUSES, rates.count { it > 0 })
    }

    @Test
    fun `an unexpected error about a message to a gateway ends its connection, never only the messages on it`() {
        val clock = FailingClock()
        var ended = false
        withKeeper(seed = 1, clock) { loop, port, _ ->
            val channel = MessageChannel(checkNotNull(TcpConnection.dial(loop, Address("127.0.0.1", port), NEVER_MS)))
            channel.send(KeeperMessage.Greeting("g"))
            channel.receive()
            clock.failing = true
            val telling =
                launch {
                    while (channel.send(KeeperMessage.Usage(listOf(Use("m1", null, count = 1, inFlight = 1))))) delay(100)
                }
            withTimeoutOrNull(LONGEST_END_MS) {
                while (channel.receive() != null) continue
                ended = true
            }
            telling.cancel()
        }
        assertEquals(1, clock.failures)
        assertTrue(ended)
    }

    @Test
    fun `every gateway hears what the engine holds and who else is connected`() {
        val engine =
            play(seed = 3, listOf(wish("m2"))) { status ->
                status.models.any { it.model == "m2" } &&
                    status.gateways?.toSet() == setOf("g0", "g1")
            }
        assertTrue(engine.orders > 0)
    }

    private companion object {
        const val TELLINGS = 10
        const val STATUSES = 2

        /** Far beyond the time in which a connection ends. */
        const val LONGEST_END_MS = 20_000L

        /** Ends a test that would hang; far beyond what any machine needs. */
        const val NEVER_MS = 300_000L
    }
}
