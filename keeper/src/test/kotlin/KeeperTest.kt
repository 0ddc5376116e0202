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

/** An in-memory engine that checks every order; orders may be lost before or after they take effect, or take effect late. */
private class FakeEngine(
    private val random: Random,
    private val scope: CoroutineScope,
    private val clock: Clock,
) : EngineControl {
    val held = mutableMapOf("m1" to mutableSetOf<String>())
    val faults = mutableListOf<String>()
    var orders = 0

    /** Time that a load of a model takes. */
    var loadMs = 5L

    /** Whether it answers reports. */
    var answering = true

    /** Models with requests in progress; unloading one of them is a fault. */
    var inUse = emptySet<String>()

    /** Shortest time for which an adapter stayed loaded, in milliseconds. */
    var shortestStayMs = Long.MAX_VALUE
    private val loadedMs = mutableMapOf<Pair<String, String>, Long>()
    private var sequence = 0L
    private var busy = false
    private var fence = 0L

    override suspend fun report(): EngineSnapshot? =
        EngineSnapshot(held.mapValues { it.value.toSet() }, busy, sequence, onDisk = listOf("m1", "m2", "m3")).takeIf { answering }

    override suspend fun order(order: EngineOrder): EngineOrderReply {
        orders++
        if (order.fence < fence) return EngineOrderReply.FENCED
        return when (random.nextInt(4)) {
            0 -> EngineOrderReply.LOST
            1 -> {
                scope.launch {
                    delay(random.nextLong(1, 60))
                    execute(order)
                }
                EngineOrderReply.LOST
            }
            else -> execute(order)
        }
    }

    private fun execute(order: EngineOrder): EngineOrderReply {
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
            delay(loadMs)
            held[model] = mutableSetOf()
            busy = false
        }
    }

    companion object {
        const val MODEL_MB = 40L
        const val MEMORY_MB = 100L
        const val SLOTS = 2

        /** Time within which gateways report a request for an adapter that was just loaded, in milliseconds. */
        const val USAGE_REPORT_MS = 500L
    }
}

/** A clock that advances by at most [maximumStepMs] between two readings, so that a stalled machine does not end a wait. */
private class BoundedStepClock(
    private val maximumStepMs: Long = 20,
) : Clock {
    private var lastMs = SystemClock.nowMs()
    private var nowMs = 0L

    override fun nowMs(): Long {
        val systemMs = SystemClock.nowMs()
        nowMs += (systemMs - lastMs).coerceIn(0, maximumStepMs)
        lastMs = systemMs
        return nowMs
    }
}

/** A clock that throws once while a status is built, as an exhausted stack or heap may. */
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
    private fun request(
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

    /** Sends load requests of two gateways over loopback until each has seen [wanted] in a status. */
    private fun requestLoads(
        seed: Int,
        requests: List<KeeperMessage.LoadRequest>,
        wanted: (KeeperMessage.Status) -> Boolean,
    ): FakeEngine =
        withKeeper(seed) { loop, port, _ ->
            val gateways = List(2) { index -> launch { gateway(loop, port, "g$index", requests, wanted) } }
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
        requests: List<KeeperMessage.LoadRequest>,
        wanted: (KeeperMessage.Status) -> Boolean,
    ) {
        val connection = checkNotNull(TcpConnection.connect(loop, Address("127.0.0.1", port), 10_000))
        val channel = MessageChannel(connection)
        channel.send(KeeperMessage.Greeting(name))
        val sending: Job =
            launch {
                while (true) {
                    requests.forEach { channel.send(it) }
                    delay(20)
                }
            }
        var gateways: List<String>? = null
        while (true) {
            val status = channel.receive() as? KeeperMessage.Status ?: continue
            gateways = status.gateways ?: gateways
            if (wanted(status.copy(gateways = gateways))) break
        }
        sending.cancel()
    }

    @Test
    fun `orders that are lost or carried out late never overfill the engine`() {
        for (seed in 1..6) {
            val requests = listOf(request("m2"), request("m2", "a1"), request("m2", "a2"), request("m2", "a3"), request("m3"))
            val engine = requestLoads(seed, requests) { status -> status.models.any { it.model == "m3" } }
            assertEquals(emptyList(), engine.faults, "seed $seed")
        }
    }

    @Test
    fun `an adapter that was just loaded for callers is not evicted for the next one`() {
        for (seed in 1..3) {
            val requests = listOf("a1", "a2", "a3").map { request("m1", it) }
            val engine = requestLoads(seed, requests) { status -> status.models.any { "a3" in it.adapters } }
            assertTrue(engine.shortestStayMs >= FakeEngine.USAGE_REPORT_MS, "seed $seed: an adapter stayed for ${engine.shortestStayMs} ms")
        }
    }

    @Test
    fun `rare models at once - a model in use receives no new requests and is evicted when its last request ends`() {
        for (seed in 1..3) {
            val engine = withKeeper(seed, BoundedStepClock()) { loop, port, engine -> useUntilDrained(loop, port, engine) }
            assertEquals(emptyList(), engine.faults, "seed $seed")
        }
    }

    /** A gateway with requests on `m1` and `m2` that end once one of the two is drained for `m3`; returns when `m3` is loaded. */
    private suspend fun CoroutineScope.useUntilDrained(
        loop: EventLoop,
        port: Int,
        engine: FakeEngine,
    ) {
        engine.held["m2"] = mutableSetOf()
        engine.inUse = setOf("m1", "m2")
        val channel = MessageChannel(checkNotNull(TcpConnection.connect(loop, Address("127.0.0.1", port), 10_000)))
        channel.send(KeeperMessage.Greeting("g"))
        channel.send(KeeperMessage.Usage(listOf("m1", "m2").map { Use(it, null, 1, inFlight = 1) }))
        val sending =
            launch {
                while (true) {
                    channel.send(request("m3"))
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
        sending.cancel()
    }

    @Test
    fun `each usage report is answered, so that a gateway detects an engine that failed with its host`() {
        var answers = 0
        withKeeper(seed = 1) { loop, port, _ ->
            val channel = MessageChannel(checkNotNull(TcpConnection.connect(loop, Address("127.0.0.1", port), HANG_TIMEOUT_MS)))
            channel.send(KeeperMessage.Greeting("g"))
            withTimeoutOrNull(HANG_TIMEOUT_MS) {
                while (channel.receive() as? KeeperMessage.Status == null) continue
                repeat(REPORTS) {
                    channel.send(KeeperMessage.Usage(listOf(Use("m1", null, count = 0, inFlight = 1))))
                    if (channel.receive() != null) answers++
                }
            }
        }
        assertEquals(REPORTS, answers)
    }

    // Guards against gateways that wait with a second attempt although the engine runs.
    @Test
    fun `a gateway hears when its reports of broken requests are settled`() {
        var settled = 0
        withKeeper(seed = 1) { loop, port, _ ->
            val channel = MessageChannel(checkNotNull(TcpConnection.connect(loop, Address("127.0.0.1", port), HANG_TIMEOUT_MS)))
            channel.send(KeeperMessage.Greeting("g"))
            repeat(2) { channel.send(KeeperMessage.Usage(emptyList(), brokenOff = listOf(BrokenOff(1, listOf(PromptPart(7, 0)))))) }
            withTimeoutOrNull(SETTLED_TIMEOUT_MS) {
                while (settled < 2) settled = (channel.receive() as? KeeperMessage.Status)?.settledReports ?: continue
            }
        }
        assertEquals(2, settled)
    }

    @Test
    fun `usage rates are reported repeatedly, even while usage reports are answered with the load only`() {
        val rates = mutableListOf<Float>()
        withKeeper(seed = 1, BoundedStepClock()) { loop, port, _ ->
            val channel = MessageChannel(checkNotNull(TcpConnection.connect(loop, Address("127.0.0.1", port), HANG_TIMEOUT_MS)))
            channel.send(KeeperMessage.Greeting("g"))
            val reporting =
                launch {
                    while (true) {
                        channel.send(KeeperMessage.Usage(listOf(Use("m1", null, count = 1, inFlight = 1))))
                        delay(100)
                    }
                }
            withTimeoutOrNull(HANG_TIMEOUT_MS) {
                while (rates.count { it > 0 } < STATUSES) {
                    val status = channel.receive() as? KeeperMessage.Status ?: continue
                    rates += status.models.map { it.requestsPerSecond }
                }
            }
            reporting.cancel()
        }
        assertEquals(STATUSES, rates.count { it > 0 })
    }

    @Test
    fun `an unexpected error while sending to a gateway closes its connection instead of leaving it open and silent`() {
        val clock = FailingClock()
        var ended = false
        withKeeper(seed = 1, clock) { loop, port, _ ->
            val channel = MessageChannel(checkNotNull(TcpConnection.connect(loop, Address("127.0.0.1", port), HANG_TIMEOUT_MS)))
            channel.send(KeeperMessage.Greeting("g"))
            channel.receive()
            clock.failing = true
            val reporting =
                launch {
                    while (channel.send(KeeperMessage.Usage(listOf(Use("m1", null, count = 1, inFlight = 1))))) delay(100)
                }
            withTimeoutOrNull(CLOSE_TIMEOUT_MS) {
                while (channel.receive() != null) continue
                ended = true
            }
            reporting.cancel()
        }
        assertEquals(1, clock.failures)
        assertTrue(ended)
    }

    @Test
    fun `every gateway is notified of the loaded models and of the connected gateways`() {
        val engine =
            requestLoads(seed = 3, listOf(request("m2"))) { status ->
                status.models.any { it.model == "m2" } &&
                    status.gateways?.toSet() == setOf("g0", "g1")
            }
        assertTrue(engine.orders > 0)
    }

    // Guards against streams with events from two software versions: the gateway that sent a stream may be gone when its caller takes it up.
    @Test
    fun `a gateway is told the versions of streams that another gateway sent`() {
        val answers = mutableListOf<SentStream>()
        withKeeper(seed = 1) { loop, port, _ ->
            val channels =
                List(2) { MessageChannel(checkNotNull(TcpConnection.connect(loop, Address("127.0.0.1", port), HANG_TIMEOUT_MS))) }
            channels.forEachIndexed { index, channel -> channel.send(KeeperMessage.Greeting("g$index")) }
            withTimeoutOrNull(HANG_TIMEOUT_MS) {
                channels[0].send(KeeperMessage.Usage(emptyList(), sentStreams = listOf(SentStream("a", "1"), SentStream("b", null))))
                // Messages on two connections may overtake each other.
                while (answers.firstOrNull()?.known != true) {
                    channels[1].send(KeeperMessage.Usage(emptyList(), resumedStreams = listOf("a", "b", "c")))
                    answers.clear()
                    while (answers.isEmpty()) answers += (channels[1].receive() as? KeeperMessage.EngineLoad)?.resumedStreams.orEmpty()
                }
            }
        }
        assertEquals(listOf(SentStream("a", "1"), SentStream("b", null), SentStream("c", null, known = false)), answers)
    }

    // Guards against models loaded from the weight store although the host of a crashed engine has a copy, while others wait for the store.
    @Test
    fun `while the engine does not answer, gateways are told of the copies on the disk of its host`() {
        var last: KeeperMessage.Status? = null
        withKeeper(seed = 1) { loop, port, engine ->
            val channel = MessageChannel(checkNotNull(TcpConnection.connect(loop, Address("127.0.0.1", port), HANG_TIMEOUT_MS)))
            channel.send(KeeperMessage.Greeting("g"))
            withTimeoutOrNull(HANG_TIMEOUT_MS) {
                while ((channel.receive() as? KeeperMessage.Status)?.models.isNullOrEmpty()) continue
                engine.answering = false
                while (last?.engineReachable != false) last = channel.receive() as? KeeperMessage.Status ?: continue
            }
        }
        assertEquals(listOf("m1", "m2", "m3"), last?.onDisk)
        assertEquals(emptyList(), last?.models)
    }

    // Guards against models never served since the weight store is slow: a load was given up while the engine went on, and begun elsewhere.
    @Test
    fun `a load that takes longer than its time limit is reported until it ends`() {
        val reported = mutableListOf<String?>()
        withKeeper(seed = 3) { loop, port, engine ->
            engine.loadMs = SLOW_LOAD_MS
            val channel = MessageChannel(checkNotNull(TcpConnection.connect(loop, Address("127.0.0.1", port), HANG_TIMEOUT_MS)))
            channel.send(KeeperMessage.Greeting("g"))
            channel.send(request("m2").copy(timeoutMs = SLOW_LOAD_MS / 3))
            withTimeoutOrNull(HANG_TIMEOUT_MS) {
                while (true) {
                    val status = channel.receive() as? KeeperMessage.Status ?: continue
                    if (status.models.any { it.model == "m2" }) break
                    if (status.models.isNotEmpty()) reported += status.loading
                }
            }
        }
        assertEquals(listOf<String?>("m2"), reported.dropWhile { it == null }.distinct())
    }

    private companion object {
        const val REPORTS = 10

        /** Longer than the random delays of orders and their repetition. */
        const val SLOW_LOAD_MS = 1_500L

        const val STATUSES = 2

        /** Far longer than closing a connection takes. */
        const val CLOSE_TIMEOUT_MS = 20_000L

        /** Below the interval at which gateways get a status in any case. */
        const val SETTLED_TIMEOUT_MS = 1_500L

        /** Ends a test that hangs; far longer than any machine needs. */
        const val HANG_TIMEOUT_MS = 300_000L
    }
}
