package org.almondjunction.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import org.almondjunction.common.Address
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Faults of the object service that can be switched on.
 *
 * @property outage whether every call of the service is answered with status 503
 * @property slowMs delay before each call of the service is answered
 * @property loseReplies number of coming writes that take effect but are answered with status 504
 * @property hostLagMs time from publishing a list of hosts until it is visible
 */
@Serializable
public data class PlatformFaults(
    val outage: Boolean = false,
    val slowMs: Long = 0,
    val loseReplies: Int = 0,
    val hostLagMs: Long = 500,
)

/**
 * Stand-in of the platform's object service: versions, conditional updates as in RFC 9110, watches on a prefix, and a list of hosts
 * that is published with a delay. It counts calls by kind.
 */
public class PlatformStandIn(
    private val address: Address,
    initialHosts: JsonArray = JsonArray(emptyList()),
) {
    @Serializable
    private data class Stored(
        val key: String,
        val version: Long,
        val value: String,
    )

    @Serializable
    private data class Listing(
        val revision: Long,
        val objects: List<Stored>,
    )

    @Serializable
    private data class Hosts(
        val version: Long,
        val hosts: JsonArray,
    )

    private val objects = LinkedHashMap<String, Stored>()
    private val revision = MutableStateFlow(0L)
    private val hosts = MutableStateFlow(Hosts(1, initialHosts))
    private val calls = ConcurrentHashMap<String, AtomicLong>()

    @Volatile
    private var faults = PlatformFaults()

    /** Calls so far, by kind: `list`, `read`, `write`, `watch` and `hosts`. */
    public val callCounts: Map<String, Long> get() = calls.mapValues { it.value.get() }

    /** Sets the faults that apply from now on. */
    public fun setFaults(value: PlatformFaults) {
        faults = value
    }

    /** Publishes a new list of hosts after [PlatformFaults.hostLagMs]. */
    public suspend fun publishHosts(list: JsonArray) {
        delay(faults.hostLagMs)
        hosts.value = Hosts(hosts.value.version + 1, list)
    }

    /** Returns the server, not yet started. */
    public fun create(): EmbeddedServer<*, *> = embeddedServer(CIO, host = address.ip, port = address.port) { routes() }

    private fun Application.routes() {
        routing {
            get("/v1/objects") { serveWithFaults(call, "list") { list(call) } }
            get("/v1/objects/{key...}") { serveWithFaults(call, "read") { read(call) } }
            put("/v1/objects/{key...}") { serveWithFaults(call, "write") { write(call) } }
            get("/v1/watch") { serveWithFaults(call, "watch") { watch(call) } }
            get("/v1/hosts") { serveWithFaults(call, "hosts") { hosts(call) } }
            put("/control/faults") {
                setFaults(Json.decodeFromString(call.receiveText()))
                call.respondText("ok\n")
            }
            put("/control/hosts") {
                publishHosts(Json.decodeFromString(call.receiveText()))
                call.respondText("ok\n")
            }
            get("/control/counts") { call.respondText(Json.encodeToString(callCounts), ContentType.Application.Json) }
        }
    }

    private suspend fun serveWithFaults(
        call: ApplicationCall,
        kind: String,
        block: suspend () -> Unit,
    ) {
        calls.computeIfAbsent(kind) { AtomicLong() }.incrementAndGet()
        if (faults.slowMs > 0) delay(faults.slowMs)
        if (faults.outage) call.respondText("outage\n", status = HttpStatusCode.ServiceUnavailable) else block()
    }

    private fun ApplicationCall.key() = parameters.getAll("key").orEmpty().joinToString("/")

    private suspend fun read(call: ApplicationCall) {
        val stored = synchronized(objects) { objects[call.key()] }
        if (stored == null) return call.respondText("absent\n", status = HttpStatusCode.NotFound)
        call.response.header(HttpHeaders.ETag, "\"${stored.version}\"")
        call.respondText(stored.value)
    }

    private suspend fun write(call: ApplicationCall) {
        val key = call.key()
        val value = call.receiveText()
        if (value.length > MAXIMUM_VALUE_BYTES) return call.respondText("too large\n", status = HttpStatusCode.PayloadTooLarge)
        val expected =
            call.request
                .header(HttpHeaders.IfMatch)
                ?.trim('"')
                ?.toLongOrNull()
        val create = call.request.header(HttpHeaders.IfNoneMatch) == "*"
        val version =
            synchronized(objects) {
                val current = objects[key]
                val permitted = if (create) current == null else current != null && current.version == expected
                if (!permitted) return@synchronized null
                val next = revision.value + 1
                objects[key] = Stored(key, next, value)
                revision.value = next
                next
            }
        if (version != null && loseReply()) return call.respondText("lost\n", status = HttpStatusCode.GatewayTimeout)
        if (version == null) return call.respondText("conflict\n", status = HttpStatusCode.PreconditionFailed)
        call.response.header(HttpHeaders.ETag, "\"$version\"")
        call.respondText("written\n")
    }

    @Synchronized
    private fun loseReply(): Boolean {
        if (faults.loseReplies <= 0) return false
        faults = faults.copy(loseReplies = faults.loseReplies - 1)
        return true
    }

    private suspend fun list(call: ApplicationCall) = respond(call, listing(call.parameters["prefix"].orEmpty(), after = 0))

    private suspend fun watch(call: ApplicationCall) {
        val prefix = call.parameters["prefix"].orEmpty()
        val after = call.parameters["after"]?.toLongOrNull() ?: 0
        withTimeoutOrNull(waitMs(call)) { revision.first { listing(prefix, after).objects.isNotEmpty() } }
        respond(call, listing(prefix, after))
    }

    private fun listing(
        prefix: String,
        after: Long,
    ): Listing =
        synchronized(objects) { Listing(revision.value, objects.values.filter { it.key.startsWith(prefix) && it.version > after }) }

    private suspend fun respond(
        call: ApplicationCall,
        listing: Listing,
    ) = call.respondText(Json.encodeToString(Listing.serializer(), listing), ContentType.Application.Json)

    private suspend fun hosts(call: ApplicationCall) {
        val after = call.parameters["after"]?.toLongOrNull() ?: 0
        withTimeoutOrNull(waitMs(call)) { hosts.first { it.version > after } }
        call.respondText(Json.encodeToString(Hosts.serializer(), hosts.value), ContentType.Application.Json)
    }

    private fun waitMs(call: ApplicationCall) = call.parameters["wait-ms"]?.toLongOrNull() ?: 0

    private companion object {
        const val MAXIMUM_VALUE_BYTES = 1_048_576
    }
}
