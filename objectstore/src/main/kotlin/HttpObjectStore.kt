package org.almondjunction.objectstore

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.encodeURLPath
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement
import org.almondjunction.common.Address
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.decisions.Fleet
import org.almondjunction.decisions.HostRecord
import org.almondjunction.decisions.StoreCall
import org.almondjunction.decisions.StoreReply
import org.almondjunction.decisions.StoredObject
import org.almondjunction.decisions.TargetRecord

/**
 * Client of the platform's object service over HTTP, with conditional requests as in RFC 9110.
 *
 * @param callTimeoutMs timeout of one call; [watch] and [hosts] add their wait time to it
 */
public class HttpObjectStore(
    private val address: Address,
    private val metrics: Metrics,
    private val callTimeoutMs: Long = CALL_TIMEOUT_MS,
) : ObjectStore,
    AutoCloseable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            install(HttpTimeout) { connectTimeoutMillis = callTimeoutMs }
        }
    private val json = Json { ignoreUnknownKeys = true }

    override suspend fun call(call: StoreCall): StoreReply =
        attempt(call::class.simpleName.orEmpty().lowercase()) {
            when (call) {
                is StoreCall.Read -> read(call)
                is StoreCall.Create -> write(call, call.value) { header(HttpHeaders.IfNoneMatch, "*") }
                is StoreCall.Replace -> write(call, call.value) { header(HttpHeaders.IfMatch, "\"${call.version}\"") }
            }
        } ?: StoreReply.Lost

    private suspend fun read(call: StoreCall.Read): StoreReply {
        val response = client.get(objectUrl(call.key)) { limitRequestTime(callTimeoutMs) }
        return when {
            response.status == HttpStatusCode.NotFound -> StoreReply.Absent
            response.status.isSuccess() -> StoreReply.Found(response.bodyAsText(), response.version())
            else -> StoreReply.Lost
        }
    }

    private suspend fun write(
        call: StoreCall,
        value: String,
        condition: HttpRequestBuilder.() -> Unit,
    ): StoreReply {
        val response =
            client.put(objectUrl(call.key)) {
                limitRequestTime(callTimeoutMs)
                condition()
                setBody(value)
            }
        return when {
            response.status == HttpStatusCode.PreconditionFailed -> StoreReply.Conflict
            response.status.isSuccess() -> StoreReply.Written(response.version())
            else -> StoreReply.Lost
        }
    }

    override suspend fun list(prefix: String): ObjectListing? =
        attempt("list") {
            client
                .get("http://$address/v1/objects") {
                    limitRequestTime(callTimeoutMs)
                    parameter("prefix", prefix)
                }.listing()
        }

    override suspend fun watch(
        prefix: String,
        revision: Long,
        waitMs: Long,
    ): ObjectListing? =
        attempt("watch") {
            client
                .get("http://$address/v1/watch") {
                    limitRequestTime(waitMs + callTimeoutMs)
                    parameter("prefix", prefix)
                    parameter("after", revision)
                    parameter("wait-ms", waitMs)
                }.listing()
        }

    override suspend fun hosts(
        version: Long,
        waitMs: Long,
    ): FleetListing? =
        attempt("hosts") {
            val response =
                client.get("http://$address/v1/hosts") {
                    limitRequestTime(waitMs + callTimeoutMs)
                    parameter("after", version)
                    parameter("wait-ms", waitMs)
                }
            if (!response.status.isSuccess()) return@attempt null
            val document = json.decodeFromString<HostsDocument>(response.bodyAsText())
            FleetListing(document.version, Fleet(document.hosts.mapNotNull { decodeHost(it) }))
        }

    private suspend fun HttpResponse.listing(): ObjectListing? {
        if (!status.isSuccess()) return null
        val document = json.decodeFromString<ObjectsDocument>(bodyAsText())
        return ObjectListing(document.revision, document.objects.mapNotNull { decode<StoredObject>(it) })
    }

    private fun decodeHost(element: JsonElement): HostRecord? {
        val targets = ((element as? JsonObject)?.get(TARGETS) as? JsonArray) ?: return decode(element)
        val decodable = targets.filter { decode<TargetRecord>(it) != null }
        return decode(JsonObject(element + (TARGETS to JsonArray(decodable))))
    }

    /** Decodes one element of a list; null if that is not possible, which affects none of the other elements. */
    private inline fun <reified T> decode(element: JsonElement): T? =
        try {
            json.decodeFromJsonElement<T>(element)
        } catch (failure: SerializationException) {
            EventLog.warn("entry of the object service ignored", LogFields(reason = failure.message))
            null
        }

    private fun HttpRequestBuilder.limitRequestTime(durationMs: Long) = timeout { requestTimeoutMillis = durationMs }

    private fun objectUrl(key: String) = "http://$address/v1/objects/${key.encodeURLPath()}"

    private fun HttpResponse.version(): Long =
        headers[HttpHeaders.ETag]?.trim('"')?.toLongOrNull() ?: error("The object service sent no numeric ETag.")

    private suspend fun <T> attempt(
        kind: String,
        block: suspend () -> T?,
    ): T? {
        metrics.count(MetricName.PLATFORM_CALLS, kind)
        val result =
            try {
                block()
            } catch (cancellation: CancellationException) {
                throw cancellation
            } catch (_: Exception) {
                null
            }
        if (result == null || result == StoreReply.Lost) metrics.count(MetricName.PLATFORM_FAILURES, kind)
        return result
    }

    override fun close(): Unit = client.close()

    @Serializable
    private data class ObjectsDocument(
        val revision: Long,
        val objects: List<JsonElement>,
    )

    @Serializable
    private data class HostsDocument(
        val version: Long,
        val hosts: List<JsonElement>,
    )

    private companion object {
        const val CALL_TIMEOUT_MS = 2_000L

        /** Member of a host's entry that lists its targets. */
        const val TARGETS = "targets"
    }
}
