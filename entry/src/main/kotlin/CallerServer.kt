package org.almondjunction.entry

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.io.readByteArray
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.common.Outcome
import org.almondjunction.common.RefusalReason
import org.almondjunction.common.RequestId
import java.util.UUID

/** HTTP interface for callers. */
internal class CallerServer(
    private val settings: EntrySettings,
    private val holder: StateHolder,
    private val drain: DrainState,
    private val handle: suspend (Exchange, AnswerWriter) -> Outcome,
    private val clock: Clock,
    private val metrics: Metrics,
) {
    fun create(): EmbeddedServer<*, *> =
        embeddedServer(CIO, configure = {
            connector {
                host = settings.listen.ip
                port = settings.listen.port
            }
            connectionIdleTimeoutSeconds = IDLE_TIMEOUT_SECONDS
        }) { routes() }

    private fun Application.routes() {
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        routing {
            get("/v1/models") { call.respondText(models(), ContentType.Application.Json) }
            post("/v1/chat/completions") { complete(call, "/v1/chat/completions") }
            post("/v1/completions") { complete(call, "/v1/completions") }
            route("/services/{service}/{path...}") { handle { callService(call) } }
        }
    }

    private fun models(): String =
        buildJsonObject {
            put("object", "list")
            putJsonArray("data") {
                holder.view.catalogue.offers.values.filter { it.replicas > 0 }.forEach { offer ->
                    (listOf(offer.model.value) + offer.adapters.map { it.adapter.value }).forEach { name ->
                        addJsonObject {
                            put("id", name)
                            put("object", "model")
                            put("owned_by", offer.service.value)
                        }
                    }
                }
            }
        }.toString()

    private suspend fun complete(
        call: ApplicationCall,
        path: String,
    ) = serve(call) { body ->
        val document = runCatching { Json.parseToJsonElement(body.decodeToString()) as? JsonObject }.getOrNull()
        val name = (document?.get("model") as? JsonPrimitive)?.takeIf { it.isString }?.jsonPrimitive?.content
        when {
            document == null -> Parsed.Invalid("The body is not a JSON object.")
            name.isNullOrBlank() -> Parsed.Invalid("The key \"model\" is missing or not a string.")
            else -> Parsed.Valid(RequestTarget.Model(name), path)
        }
    }

    private suspend fun callService(call: ApplicationCall) =
        serve(call) {
            val service = call.parameters["service"].orEmpty()
            Parsed.Valid(
                RequestTarget.Service(service),
                call.request.uri
                    .removePrefix("/services/$service")
                    .ifEmpty { "/" },
            )
        }

    private sealed class Parsed {
        data class Valid(
            val target: RequestTarget,
            val path: String,
        ) : Parsed()

        data class Invalid(
            val detail: String,
        ) : Parsed()
    }

    private suspend fun serve(
        call: ApplicationCall,
        parse: (ByteArray) -> Parsed,
    ) = drain.track { coroutineScope { answer(call, this, parse) } }

    private suspend fun answer(
        call: ApplicationCall,
        scope: CoroutineScope,
        parse: (ByteArray) -> Parsed,
    ) {
        val id =
            RequestId(
                call.request
                    .header("X-Request-Id")
                    ?.takeIf { it.matches(REQUEST_ID) }
                    ?.let { "$it.${shortId()}" }
                    ?: UUID.randomUUID().toString(),
            )
        val answer = CallerAnswer(call, id, scope, clock, metrics)
        val outcome = outcome(call, id, answer, parse)
        recordOutcome(id, outcome)
        answer.conclude(outcome)
    }

    private suspend fun outcome(
        call: ApplicationCall,
        id: RequestId,
        answer: CallerAnswer,
        parse: (ByteArray) -> Parsed,
    ): Outcome {
        val timeoutMs =
            timeoutMs(call) ?: return malformed("X-Request-Timeout-Ms must be a whole number from 1 to ${settings.maximumTimeoutMs}.")
        val idempotencyKey = call.request.header("Idempotency-Key")
        if (idempotencyKey != null && idempotencyKey.length !in IDEMPOTENCY_KEY_LENGTH) {
            return malformed("Idempotency-Key must have ${IDEMPOTENCY_KEY_LENGTH.first} to ${IDEMPOTENCY_KEY_LENGTH.last} characters.")
        }
        val body =
            drain.runUntilRefusing { call.receiveChannel().readRemaining(settings.bodyLimitBytes + 1L).readByteArray() }
                ?: return Outcome.NotRun(RefusalReason.LEAVING)
        if (body.size >
            settings.bodyLimitBytes
        ) {
            return Outcome.NotRun(RefusalReason.BODY_TOO_LARGE, "The limit is ${settings.bodyLimitBytes} bytes.")
        }
        return when (val parsed = parse(body)) {
            is Parsed.Invalid -> malformed(parsed.detail)
            is Parsed.Valid ->
                handle(
                    Exchange(
                        id = id,
                        target = parsed.target,
                        method = call.request.httpMethod.value,
                        path = parsed.path,
                        contentType = call.request.header(HttpHeaders.ContentType),
                        idempotencyKey = idempotencyKey,
                        body = body,
                        deadlineMs = clock.nowMs() + timeoutMs,
                    ),
                    answer,
                )
        }
    }

    private fun malformed(detail: String) = Outcome.NotRun(RefusalReason.MALFORMED_REQUEST, detail)

    private fun timeoutMs(call: ApplicationCall): Long? {
        val text = call.request.header("X-Request-Timeout-Ms") ?: return settings.defaultTimeoutMs
        return text.toLongOrNull()?.takeIf { it in 1..settings.maximumTimeoutMs }
    }

    private fun recordOutcome(
        id: RequestId,
        outcome: Outcome,
    ) {
        metrics.count(MetricName.REQUESTS, outcome.headerValue)
        val reason =
            when (outcome) {
                Outcome.Served -> null
                is Outcome.NotRun -> outcome.reason.code.also { metrics.count(MetricName.REFUSALS, it) }
                is Outcome.Unknown -> outcome.reason.code.also { metrics.count(MetricName.UNKNOWN_OUTCOMES, it) }
            }
        EventLog.info("request concluded", LogFields(id, outcome = outcome.headerValue, reason = reason))
    }

    private fun shortId() = UUID.randomUUID().toString().take(SHORT_ID_LENGTH)

    private companion object {
        const val IDLE_TIMEOUT_SECONDS = 30
        const val SHORT_ID_LENGTH = 8
        val REQUEST_ID = Regex("[A-Za-z0-9._-]{1,100}")
        val IDEMPOTENCY_KEY_LENGTH = 1..200
    }
}
