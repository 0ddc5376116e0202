package org.almondjunction.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeByteArray
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonPrimitive
import org.almondjunction.common.Address
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Behaviour of an engine stand-in.
 *
 * @property memoryMb memory for models and adapters; loads beyond it are carried out and counted as overcommits
 * @property tokenMs time between two tokens
 * @property honoursFence whether orders with a lower fencing number than an earlier order are refused
 * @property reportLagMs time from reading the state to answering with the report
 * @property diskLoadMs time to load a model from the host's disk
 * @property memoryLoadMs time to load a model that this engine has loaded before
 * @property cachedOnDisk models whose checkpoints are on the host's disk; all others come from the weight store
 */
public data class EngineOptions(
    val memoryMb: Long,
    val tokenMs: Long = 5,
    val honoursFence: Boolean = false,
    val reportLagMs: Long = 0,
    val diskLoadMs: Long = 300,
    val memoryLoadMs: Long = 50,
    val cachedOnDisk: Set<String> = emptySet(),
)

/** Stand-in of a model engine with an OpenAI-style completion interface. */
public class EngineStandIn(
    private val address: Address,
    private val options: EngineOptions,
    private val weightStore: WeightStoreStandIn,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val residents = LinkedHashMap<String, EngineResident>()
    private val cachedInMemory = ConcurrentHashMap.newKeySet<String>()
    private val generations = ConcurrentHashMap<String, Generation>()
    private val loads = ConcurrentHashMap<String, AtomicLong>()
    private val runs = ConcurrentHashMap<String, Int>()
    private val cancels = AtomicLong()
    private val refusedOrders = AtomicLong()
    private var fence = 0L
    private var peakMemoryMb = 0L
    private var overcommits = 0L

    /** Whether the engine hangs: it accepts requests but generates no tokens. */
    @Volatile
    public var hanging: Boolean = false

    /** Returns the server, not yet started. */
    public fun create(): EmbeddedServer<*, *> = embeddedServer(CIO, host = address.ip, port = address.port) { routes() }

    private fun Application.routes() {
        routing {
            post("/v1/chat/completions") { complete(call) }
            post("/v1/completions") { complete(call) }
            get("/requests/{id}") { resume(call) }
            delete("/requests/{id}") { cancel(call) }
            post("/orders") { order(call) }
            get("/report") { report(call) }
            get(
                "/control/counts",
            ) { call.respondText(Json.encodeToString(EngineCounts.serializer(), counts()), ContentType.Application.Json) }
            put("/control/hang") {
                hanging = call.receiveText().trim() == "true"
                call.respondText("ok\n")
            }
        }
    }

    /** Returns the memory reserved now and the counts since the start. */
    public fun counts(): EngineCounts =
        synchronized(residents) {
            EngineCounts(
                memoryMb(),
                peakMemoryMb,
                overcommits,
                loads.mapValues { it.value.get() },
                runs.toMap(),
                cancels.get(),
                refusedOrders.get(),
            )
        }

    private fun memoryMb() = residents.values.sumOf { it.memoryMb }

    private suspend fun order(call: ApplicationCall) {
        val order = Json.decodeFromString<EngineOrder>(call.receiveText())
        val key = key(order.model, order.version, order.adapter, order.adapterVersion)
        val accepted =
            synchronized(residents) {
                if (options.honoursFence && order.fence < fence) return@synchronized false
                fence = maxOf(fence, order.fence)
                if (order.action == "load") beginLoad(key, order) else beginUnload(key)
            }
        if (!accepted) refusedOrders.incrementAndGet()
        call.respondText(
            if (accepted) "accepted\n" else "refused\n",
            status = if (accepted) HttpStatusCode.Accepted else HttpStatusCode.Conflict,
        )
    }

    private fun beginLoad(
        key: String,
        order: EngineOrder,
    ): Boolean {
        if (key in residents) return true
        residents[key] = EngineResident(order.model, order.version, order.adapter, order.adapterVersion, order.memoryMb, "loading")
        peakMemoryMb = maxOf(peakMemoryMb, memoryMb())
        if (memoryMb() > options.memoryMb) overcommits++
        loads.computeIfAbsent(key) { AtomicLong() }.incrementAndGet()
        scope.launch {
            readWeights(order)
            synchronized(residents) { residents.computeIfPresent(key) { _, resident -> resident.copy(state = "loaded") } }
        }
        return true
    }

    private suspend fun readWeights(order: EngineOrder) {
        when {
            order.adapter != null -> weightStore.readAdapter()
            order.model in cachedInMemory -> delay(options.memoryLoadMs)
            order.model in options.cachedOnDisk -> delay(options.diskLoadMs)
            else -> weightStore.readCheckpoint()
        }
        cachedInMemory += order.model
    }

    private fun beginUnload(key: String): Boolean {
        val resident = residents[key] ?: return true
        if (resident.state == "loading") return false
        residents.remove(key)
        return true
    }

    private suspend fun report(call: ApplicationCall) {
        val document =
            synchronized(residents) {
                val cached = options.cachedOnDisk.associateWith { "disk" } + cachedInMemory.associateWith { "memory" }
                EngineReportDocument(fence, residents.values.toList(), cached, generations.values.count { !it.ended })
            }
        delay(options.reportLagMs)
        call.respondText(Json.encodeToString(EngineReportDocument.serializer(), document), ContentType.Application.Json)
    }

    private suspend fun complete(call: ApplicationCall) {
        val id = call.request.header("X-Request-Id") ?: UUID.randomUUID().toString()
        val body = Json.parseToJsonElement(call.receiveText()) as JsonObject
        val baseModel = key(call.request.header("X-Model").orEmpty(), call.request.header("X-Model-Version").orEmpty(), null, null)
        val ready = synchronized(residents) { residents[baseModel]?.state == "loaded" }
        if (!ready) {
            return call.respondText(
                """{"error":"the model is not loaded"}""",
                ContentType.Application.Json,
                HttpStatusCode.Conflict,
            )
        }
        runs.merge(id, 1, Int::plus)
        val tokens = body["max_tokens"]?.jsonPrimitive?.intOrNull ?: DEFAULT_TOKENS
        val stream = body["stream"]?.jsonPrimitive?.booleanOrNull ?: false
        val chat = call.request.uri.contains("chat")
        val generation =
            generations.computeIfAbsent(id) {
                Generation(CompletionText(id, call.request.header("X-Model").orEmpty(), chat, tokens), stream)
            }
        scope.launch { generation.run(options.tokenMs) { hanging } }
        send(call, generation, offset = 0)
    }

    private suspend fun resume(call: ApplicationCall) {
        val generation = generations[call.parameters["id"]] ?: return call.respondText("unknown\n", status = HttpStatusCode.NotFound)
        send(call, generation, call.parameters["offset"]?.toIntOrNull() ?: 0)
    }

    private suspend fun send(
        call: ApplicationCall,
        generation: Generation,
        offset: Int,
    ) {
        val type = if (generation.stream) ContentType.Text.EventStream else ContentType.Application.Json
        call.respondBytesWriter(type) {
            generation.parts(offset).collect { part ->
                writeByteArray(part)
                flush()
            }
        }
    }

    private suspend fun cancel(call: ApplicationCall) {
        generations[call.parameters["id"]]?.cancel()
        cancels.incrementAndGet()
        call.respondText("cancelled\n")
    }

    private fun key(
        model: String,
        version: String,
        adapter: String?,
        adapterVersion: String?,
    ) = listOfNotNull(model, version, adapter, adapterVersion).joinToString("/")

    private companion object {
        const val DEFAULT_TOKENS = 16
    }
}
