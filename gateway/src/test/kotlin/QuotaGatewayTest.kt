package org.almondjunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.Address
import org.almondjunction.common.Location
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.common.RegionId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.SystemHostClock
import org.almondjunction.common.TargetId
import org.almondjunction.common.ZoneId
import org.almondjunction.decisions.HedgePolicy
import org.almondjunction.decisions.LeaseAnswer
import org.almondjunction.decisions.LeaseCall
import org.almondjunction.decisions.LeaseRecord
import org.almondjunction.decisions.QuotaLimits
import org.almondjunction.decisions.QuotaUnit
import org.almondjunction.decisions.RetryLimits
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.decisions.SharedRetryBudget
import org.almondjunction.decisions.TokenQuota
import org.almondjunction.keeper.EngineControl
import org.almondjunction.keeper.EngineOrder
import org.almondjunction.keeper.EngineOrderReply
import org.almondjunction.keeper.EngineSnapshot
import org.almondjunction.keeper.Keeper
import org.almondjunction.keeper.LeaseStore
import org.almondjunction.keeper.QuotaCoordinator
import org.almondjunction.network.EventLoop
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpReader
import org.almondjunction.network.TcpConnection
import org.almondjunction.network.TcpListener
import org.almondjunction.network.processScope
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Leases in memory, shared by the keepers of a test. */
private class LeasesInMemory : LeaseStore {
    val records = mutableMapOf<String, Pair<LeaseRecord, Long>>()
    val calls = AtomicInteger()
    private var revision = 0L

    override suspend fun call(
        name: String,
        call: LeaseCall,
    ): LeaseAnswer {
        calls.incrementAndGet()
        delay(1)
        val (record, current) = records[name] ?: (null to null)
        if (call is LeaseCall.Write) {
            if (call.revision != current) return LeaseAnswer.Conflict(1)
            records[name] = call.record to ++revision
            return LeaseAnswer.Found(call.record, revision, 1)
        }
        return if (record == null || current == null) LeaseAnswer.Missing(1) else LeaseAnswer.Found(record, current, 1)
    }
}

private object IdleEngine : EngineControl {
    override suspend fun report() = EngineSnapshot(emptyMap(), busy = false, sequence = 1)

    override suspend fun order(order: EngineOrder) = EngineOrderReply.REFUSED
}

/** Real keepers with a store in memory, and the forwarding part of a gateway, on loopback. */
class QuotaGatewayTest {
    private val loop = EventLoop()
    private val scope = processScope(loop)
    private val loopThread = thread { loop.run() }
    private val leases = LeasesInMemory()
    private val keeperPort = ServerSocket(0).use { it.localPort }
    private val state = GatewayState(CrashTracker(loop.clock, "g") {})
    private val registry = TargetRegistry(loop, scope, "g", keeperPort, state)
    private val topology = Topology(Location(RegionId("r"), ZoneId("z")), mapOf(ZoneId("z") to RegionId("r")))
    private val metrics = Metrics()
    private val limits = QuotaLimits(windowMs = 8_000, overage = 0.1, slack = 20.0)
    private val quotas = QuotaClient(SystemHostClock, registry, state, GatewayFixture.NAMES, limits, metrics)
    private val selector = TargetSelector(loop.clock, registry, topology, state)
    private val retryBudget = SharedRetryBudget(RetryLimits())
    private val forwarder =
        Forwarder(
            loop.clock,
            selector,
            registry,
            state,
            GatewayFixture.NAMES,
            retryBudget,
            metrics,
            quotas,
            HedgedExchange(loop.clock, selector, registry, state, HedgePolicy(0.0), retryBudget, metrics),
            SignalReader(loop.clock, state, GatewayFixture.NAMES, metrics),
            StreamOriginClient(loop.clock, registry, state.changed),
        )
    private val tenants =
        listOf(
            Tenant("small", quota = TokenQuota(5.0, 5.0, QuotaUnit.REQUESTS, 1)),
            Tenant("large", quota = TokenQuota(5_000.0, 5_000.0, QuotaUnit.TOKENS, 10)),
        )
    private val keeperScopes = mutableMapOf<String, CoroutineScope>()
    private val listeners = mutableMapOf<String, TcpListener>()
    private var callersPort = 0

    @AfterTest
    fun stop() {
        loop.stop()
        loopThread.join()
    }

    private fun onLoop(work: suspend () -> Unit): Unit = runBlocking { scope.async { work() }.await() }

    private fun start(hosts: List<String>) =
        onLoop {
            val service = ServiceId("s")
            val engine = EngineConfiguration(1, 1, weightsMb = 1, adapterSlots = 0, emptyMap())
            val route = GatewayFixture.route(RetrySafety.ONCE, streaming = false)
            state.configuration = GatewayConfiguration(1, listOf(route), mapOf(service to ServiceConfiguration(service, 99, engine)))
            hosts.forEachIndexed { index, host ->
                startKeeper(host)
                val listener = TcpListener(loop, Address(host, 0)) { scope.launch { serveTarget(it) } }
                val entry =
                    TargetEntry(TargetId("t$index"), service, Address(host, listener.port), ZoneId("z"), true, 64, 1, 1, emptyMap())
                registry.apply(TargetDirectory.Change.Put(entry))
            }
            scope.launch { quotas.run() }
            callersPort = TcpListener(loop, Address(GatewayFixture.LOOPBACK, 0)) { scope.launch { serveCaller(it, route) } }.port
        }

    private fun startKeeper(host: String) {
        val keeperScope = processScope(loop)
        keeperScopes[host] = keeperScope
        val coordinator = QuotaCoordinator(keeperScope, SystemHostClock, leases, host, incarnation = host.hashCode().toLong())
        val keeper = Keeper(keeperScope, loop.clock, IdleEngine, firstFence = 1, coordinator)
        keeper.start()
        listeners[host] = TcpListener(loop, Address(host, keeperPort)) { keeper.accept(it) }
    }

    private suspend fun serveTarget(connection: TcpConnection) {
        val reader = HttpReader(connection)
        while (true) {
            val head = (reader.requestHead(9_999) as? HeadResult.Read)?.head ?: break
            connection.write("HTTP/1.1 200 OK\r\nId: ${head.headers["Id"]}\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok".toByteArray())
        }
    }

    /** Forwards one request of the tenant that its header `Key` names; it is cancelled when the caller disconnects. */
    private suspend fun serveCaller(
        connection: TcpConnection,
        route: Route,
    ) {
        val head = (HttpReader(connection).requestHead(9_999) as? HeadResult.Read)?.head ?: return
        val tenant = tenants.firstOrNull { it.name == head.headers["Key"] }
        val request = ForwardedRequest.of(head, ByteArray(0), route, loop.clock.nowMs(), GatewayFixture.NAMES, tenant)
        val work = scope.launch { forwarder.forward(request, CallerAnswer(connection, head)) }
        val watch =
            scope.launch {
                connection.fill()
                work.cancel()
            }
        work.join()
        watch.cancel()
        connection.close()
    }

    private val numbers = AtomicInteger()

    private fun ask(
        tenant: String?,
        tokens: String = "5,5",
    ): String =
        Socket(GatewayFixture.LOOPBACK, callersPort).use { socket ->
            val key = tenant?.let { "Key: $it\r\n" }.orEmpty()
            val head = "GET / HTTP/1.1\r\nHost: h\r\nId: ${numbers.incrementAndGet()}\r\nDeadline: 4000\r\nTokens: $tokens\r\n$key\r\n"
            socket.getOutputStream().write(head.toByteArray())
            socket.getInputStream().readAllBytes().decodeToString()
        }

    private fun statusOf(answer: String) = answer.substringAfter(' ').take(3).toInt()

    /** Returns when a request of the tenant is served. */
    private fun awaitServed(tenant: String) {
        repeat(ATTEMPTS) { if (statusOf(ask(tenant)) == 200) return }
        throw AssertionError("no request of $tenant was served")
    }

    // Guards against a tenant that uses more than its quota, or whose excess is at the expense of others.
    @Test
    fun `a tenant over its limit gets 429 while another one is served`() {
        start(listOf("127.0.0.2"))
        awaitServed("large")
        awaitServed("small")
        val startedMs = loop.clock.nowMs()
        val answers = java.util.Collections.synchronizedList(mutableListOf<String>())
        val callers = List(8) { thread { repeat(20) { answers += ask("small") } } }
        val others = List(40) { ask("large") }
        assertEquals(429, statusOf(ask("large", "9000000,0")), "A request beyond all that its quota grants at once must not wait.")
        callers.forEach { it.join() }
        val elapsedMs = loop.clock.nowMs() - startedMs
        val statuses = answers.map { statusOf(it) }
        assertEquals(setOf(200, 429), statuses.toSet(), "$statuses")
        assertTrue(answers.filter { statusOf(it) == 429 }.all { Regex("Retry-After: [0-9.]+\r\n").containsMatchIn(it) })
        val bound = (5.0 * maxOf(elapsedMs, limits.windowMs) / 1_000 + 5) * (1 + limits.overage) + limits.slack
        assertTrue(statuses.count { it == 200 } <= bound, "$statuses in $elapsedMs ms")
        assertEquals(setOf(200), others.map { statusOf(it) }.toSet())
        assertTrue(metrics.total(MetricName.QUOTA_REFUSED) > 0 && metrics.total(MetricName.QUOTA_GRANTED) > 0)
    }

    // Guards against a shard that stays without a coordinator, and callers that then wait without an answer.
    @Test
    fun `another keeper takes over when the coordinator goes away`() {
        start(listOf("127.0.0.2", "127.0.0.3"))
        awaitServed("large")
        val first =
            leases.records.values
                .first()
                .first.holder
        onLoop {
            listeners.getValue(first).close()
            keeperScopes.getValue(first).cancel()
        }
        // More than what the gateway holds, so that only a new coordinator can grant it.
        val answers = mutableListOf<Int>()
        while (answers.size < ATTEMPTS &&
            leases.records.values.none { it.first.holder != first }
        ) {
            answers += statusOf(ask("large", "3000,0"))
        }
        assertTrue(answers.all { it in setOf(200, 429, 503) }, "$answers")
        awaitServed("large")
        assertNotEquals(
            first,
            leases.records.values
                .maxBy { it.second }
                .first.holder,
        )
    }

    // Guards against messages and calls to the store on deployments without tenants.
    @Test
    fun `without tenants no keeper calls the store`() {
        start(listOf("127.0.0.2"))
        repeat(30) { assertEquals(200, statusOf(ask(null))) }
        assertEquals(0, leases.calls.get())
    }

    // Guards against units that go to callers which disconnected while they waited.
    @Test
    fun `the units of a caller that disconnects while it waits go to others`() {
        start(listOf("127.0.0.2"))
        awaitServed("small")
        repeat(30) { ask("small") }
        val sockets = List(20) { Socket(GatewayFixture.LOOPBACK, callersPort) }
        sockets.forEachIndexed { index, socket ->
            val head = "GET / HTTP/1.1\r\nHost: h\r\nId: x$index\r\nDeadline: 20000\r\nKey: small\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
        }
        Thread.sleep(WAITING_MS)
        sockets.forEach { it.close() }
        Thread.sleep(WAITING_MS)
        assertEquals(200, statusOf(ask("small")))
    }

    private companion object {
        /** Time for which callers wait, shorter than the time in which a quota yields the units for all of them. */
        const val WAITING_MS = 200L
        const val ATTEMPTS = 60
    }
}
