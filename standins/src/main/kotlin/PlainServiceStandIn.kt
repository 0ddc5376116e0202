package org.almondjunction.standins

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.almondjunction.common.Address
import java.util.concurrent.ConcurrentHashMap

/**
 * Stand-in of a plain service; counts the runs by idempotency key, or by request identity for requests without a key.
 *
 * @param workMs duration of a run
 */
public class PlainServiceStandIn(
    private val address: Address,
    private val name: String,
    private val workMs: Long = 10,
) {
    @Serializable
    private data class Receipt(
        val service: String,
        val method: String,
        val path: String,
        val run: Int,
        val body: String,
    )

    private val runs = ConcurrentHashMap<String, Int>()

    /** Runs so far, by idempotency key or else by request identity. */
    public val runCounts: Map<String, Int> get() = runs.toMap()

    /** Returns the server, not yet started. */
    public fun create(): EmbeddedServer<*, *> =
        embeddedServer(CIO, host = address.ip, port = address.port) {
            routing {
                get("/control/counts") { call.respondText(Json.encodeToString(runCounts), ContentType.Application.Json) }
                route("/{path...}") { handle { run(call) } }
            }
        }

    private suspend fun run(call: ApplicationCall) {
        val body = call.receiveText()
        val identity = call.request.header("Idempotency-Key") ?: call.request.header("X-Request-Id").orEmpty()
        val count = runs.merge(identity, 1, Int::plus) ?: 1
        delay(workMs)
        val receipt = Receipt(name, call.request.httpMethod.value, call.request.uri, count, body)
        call.respondText(Json.encodeToString(Receipt.serializer(), receipt), ContentType.Application.Json)
    }
}
