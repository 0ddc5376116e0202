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
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against the start of a large fleet at which every gateway began a load from the weight store in the same moment.
 *
 * The store serves one or two loads at full speed: five at once took five times as long, and no further model was loaded for a minute.
 */
class ModelPreloaderTest {
    private val service = ServiceId("s")
    private val loop = EventLoop(Clock { 1_000L })
    private val gateways = List(30) { "gateway-$it" }
    private val held = List(12) { "held-$it" }

    private fun preloader(
        gateway: String,
        copies: List<String>,
        missing: List<String>,
        loadMs: Long,
    ): Pair<ModelPreloader, TargetSelector> {
        val state = GatewayState(CrashTracker(loop.clock, gateway))
        val models =
            (held + copies + missing).associate {
                ModelId(it) to ModelConfiguration(ModelId(it), 60, 0, loadMs, loadFromMemoryMs = 300, loadFromDiskMs = 1_000)
            }
        val engine = EngineConfiguration(batch = 64, promptCacheTokens = 100, weightsMb = 100, adapterSlots = 2, models = models)
        val route = Route("r", "h", "/", RetrySafety.ONCE, true, listOf(Destination(service, 1.0)), LONGEST_WAIT_MS, 2_000, 0, 1)
        val registry = TargetRegistry(loop, CoroutineScope(SupervisorJob()), gateway, 1, state)
        held.forEachIndexed { index, model ->
            val address = Address("127.0.0.1", 1 + index)
            registry.apply(
                TargetDirectory.Change.Put(TargetEntry(TargetId("t$index"), service, address, ZoneId("z"), true, 4, 1, 1, emptyMap())),
            )
            val target = registry.ready(service).first { it.entry.address == address }
            val status =
                KeeperMessage.Status(
                    listOf(HeldModel(model, emptyList(), idleMs = 20_000)),
                    onDisk = copies + model,
                    gateways = gateways,
                )
            target.update(status)
        }
        // Set after the targets, so that no connections to keepers are opened.
        state.configuration = GatewayConfiguration(1, listOf(route), mapOf(service to ServiceConfiguration(service, 9, engine)))
        state.changed.raise()
        val topology = Topology(Location(RegionId("r"), ZoneId("z")), mapOf(ZoneId("z") to RegionId("r")))
        val selector = TargetSelector(loop.clock, registry, topology, state)
        return ModelPreloader(registry, selector, state, gateway) to selector
    }

    private fun requestedStoreLoads(
        copies: List<String>,
        missing: List<String>,
        loadMs: Long = LONGEST_WAIT_MS + 1_200,
    ): List<Int> =
        gateways
            .map { gateway ->
                val (preloader, selector) = preloader(gateway, copies, missing, loadMs)
                runBlocking { preloader.preload() }
                selector.requestedStoreLoads
            }.filter { it > 0 }

    @Test
    fun `of many gateways that start together one requests loads from the weight store, no more than it serves`() {
        val mostLoads = mapOf(LONGEST_WAIT_MS + 1_200 to 2, LONGEST_WAIT_MS - 4_200 to 4)
        for ((loadMs, most) in mostLoads) {
            val requested = requestedStoreLoads(copies = listOf("copy-0"), missing = List(20) { "missing-$it" }, loadMs)
            assertEquals(1, requested.size, "gateways that requested loads of $loadMs ms from the store")
            assertTrue(requested.single() <= most, "loads of $loadMs ms from the store: ${requested.single()}")
        }
    }

    @Test
    fun `models with a copy on a host are not loaded from the weight store`() {
        assertEquals(emptyList(), requestedStoreLoads(copies = List(20) { "copy-$it" }, missing = emptyList()))
    }

    private companion object {
        /** Longest time that a caller waits for weights. */
        const val LONGEST_WAIT_MS = 12_000L
    }
}
