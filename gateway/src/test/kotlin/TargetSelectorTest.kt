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
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.keeper.HeldModel
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.network.EventLoop
import org.almondjunction.network.HttpHeader
import org.almondjunction.network.HttpHeaders
import org.almondjunction.network.RequestHead
import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests the selection for rarely requested models, changes of demand and a busy weight store, without connections to keepers. */
class TargetSelectorTest {
    private val service = ServiceId("s")
    private val small = ModelConfiguration(ModelId("m"), 60, 0, loadMs = 6_000, loadFromMemoryMs = 300, loadFromDiskMs = 500)
    private val engine =
        EngineConfiguration(
            batch = 64,
            promptCacheTokens = 100,
            weightsMb = 100,
            adapterSlots = 2,
            models = listOf("m", "a", "b", "c").associate { ModelId(it) to small.copy(model = ModelId(it)) },
        )
    private val route =
        Route("r", "h", "/", RetrySafety.RESUMABLE, true, listOf(Destination(service, 1.0)), 20_000, 2_000, 0, maximumTargets = 2)

    private fun held(
        model: String,
        inFlight: Int = 0,
        adapters: List<String> = emptyList(),
    ) = HeldModel(model, adapters, requestsPerSecond = 0.1f, idleMs = 20_000, inFlight = inFlight)

    private fun status(
        vararg models: HeldModel,
        loading: String? = null,
        onDisk: List<String> = emptyList(),
        reachable: Boolean = true,
    ) = KeeperMessage.Status(models = models.toList(), loading = loading, onDisk = onDisk, engineReachable = reachable)

    private data class Case(
        val pattern: String,
        val targets: List<KeeperMessage.Status?>,
        val model: String,
        val expected: String,
    )

    private val cases =
        listOf(
            Case("the model is held", listOf(status(held("a")), status(held("m"))), "m", "t1"),
            Case(
                "rarely requested model, one host has its weights",
                listOf(status(held("a")), status(held("b"), onDisk = listOf("m"))),
                "m",
                "in 500 ms",
            ),
            Case(
                "concurrent rare models: the host that has the weights is in use, and still faster than the weight store",
                listOf(status(held("a")), status(held("b", inFlight = 1), onDisk = listOf("m"))),
                "m",
                "in 500 ms",
            ),
            Case("change of demand: no host has the weights", listOf(status(held("a")), status(held("b"))), "m", "in 6000 ms"),
            Case(
                "change of demand: no host has the weights, and the weight store is busy with other models",
                listOf(status(held("a"), loading = "b"), status(held("b"), loading = "c"), status()),
                "m",
                "in 12000 ms",
            ),
            Case(
                "the weight store is busy, but a host has the weights",
                listOf(status(held("a"), loading = "b"), status(held("b"), loading = "c"), status(onDisk = listOf("m"))),
                "m",
                "in 500 ms",
            ),
            Case(
                "restart of all hosts: loading from the weight store, but a host connected later has the weights",
                listOf(status(loading = "m"), status(onDisk = listOf("m"))),
                "m",
                "in 500 ms",
            ),
            Case(
                "the only engine whose host has the weights has crashed: awaited, since it returns sooner than the weight store loads",
                listOf(status(held("a")), status(onDisk = listOf("m"), reachable = false)),
                "m",
                "in 3000 ms",
            ),
            Case(
                "an engine has crashed, but another host has the weights",
                listOf(status(onDisk = listOf("m")), status(onDisk = listOf("m"), reachable = false)),
                "m",
                "in 500 ms",
            ),
            Case("restart of all hosts: one is not connected yet", listOf(status(), null), "m", "in 2000 ms"),
            Case("the model is being loaded", listOf(status(held("a"), loading = "m", onDisk = listOf("m")), status()), "m", "in 500 ms"),
            Case("an adapter that is loaded", listOf(status(held("m", adapters = listOf("a1"))), status(held("m"))), "m/a1", "t0"),
            Case("an adapter that is not loaded", listOf(status(held("m")), status()), "m/a1", "in 40 ms"),
        )

    @Test
    fun `a request is sent to a holder of the model, or the model is loaded from the nearest copy of its weights`() =
        cases.forEach { check(it) }

    /** Copies on the disks of the hosts of t0 and t1, the least recently used first, and the one that loads m from the weight store. */
    private class DisplacementCase(
        val pattern: String,
        val onDisk: List<List<String>>,
        val expected: String,
    )

    private val displacementCases =
        listOf(
            DisplacementCase("the last copy of a would be displaced on t0", listOf(listOf("a", "b"), listOf("b", "c")), "t1"),
            DisplacementCase("the last copy of a would be displaced on t1", listOf(listOf("b", "c"), listOf("a", "b")), "t0"),
            DisplacementCase("the last copy of a or of c would be displaced", listOf(listOf("a"), listOf("c")), "t0"),
            DisplacementCase("a disk without copies", listOf(listOf("a"), emptyList()), "t1"),
        )

    // Guards against models that are never served since the weights of another one displace their last copy from the disks of all hosts.
    @Test
    fun `a load from the weight store displaces the last copy of another model only if each choice does`() =
        displacementCases.forEach { case ->
            val selector = selector(case.onDisk.map { status(held("b"), onDisk = it) })
            selector.choose("m")
            val actual =
                selector
                    .requestedTarget("m")
                    ?.entry
                    ?.target
                    ?.value
            assertEquals(case.expected, actual, case.pattern)
        }

    // Guards against callers that are held to their end for weights whose load is overdue.
    @Test
    fun `a load that is overdue is expected to take as long again as it is late`() {
        val selector = selector(listOf(status(held("a"), loading = "m")))
        assertEquals(TargetSelector.Choice.Later(6_000), selector.choose("m"))
        nowMs += 8_000
        assertEquals(TargetSelector.Choice.Later(2_000), selector.choose("m"))
    }

    private var nowMs = 1_000L
    private val loop = EventLoop(Clock { nowMs })
    private val topology = Topology(Location(RegionId("r"), ZoneId("z")), mapOf(ZoneId("z") to RegionId("r")))

    private fun registry(
        statuses: List<KeeperMessage.Status?>,
        state: GatewayState,
    ): TargetRegistry {
        val registry = TargetRegistry(loop, CoroutineScope(SupervisorJob()), "g", 1, state)
        statuses.indices.forEach { index ->
            val address = Address("127.0.0.1", 1 + index)
            val entry = TargetEntry(TargetId("t$index"), service, address, ZoneId("z"), true, 4, 1, 1, emptyMap())
            registry.apply(TargetDirectory.Change.Put(entry))
        }
        registry.ready(service).forEach {
            it.update(
                statuses[
                    it.entry.target.value
                        .drop(1)
                        .toInt(),
                ],
            )
        }
        return registry
    }

    private fun selector(statuses: List<KeeperMessage.Status?>): TargetSelector {
        val state = GatewayState(CrashTracker(loop.clock, "g"))
        val registry = registry(statuses, state)
        state.configuration = GatewayConfiguration(1, listOf(route), mapOf(service to ServiceConfiguration(service, 9, engine)))
        return TargetSelector(loop.clock, registry, topology, state)
    }

    private fun TargetSelector.choose(model: String): TargetSelector.Choice {
        val head = RequestHead("POST", "/", HttpHeaders(listOf(HttpHeader(GatewayFixture.NAMES.model, model))))
        val request = ForwardedRequest.of(head, ByteArray(0), route, loop.clock.nowMs(), GatewayFixture.NAMES)
        return runBlocking { choose(request, emptyMap()) }
    }

    private fun check(case: Case) {
        val choice = selector(case.targets).choose(case.model)
        val actual =
            when (choice) {
                is TargetSelector.Choice.Selected -> choice.target.entry.target.value
                is TargetSelector.Choice.Later -> "in ${choice.expectedMs} ms"
                is TargetSelector.Choice.AskedToWait -> "wait ${choice.waitMs} ms"
                is TargetSelector.Choice.None -> choice.reason
            }
        assertEquals(case.expected, actual, case.pattern)
    }
}
