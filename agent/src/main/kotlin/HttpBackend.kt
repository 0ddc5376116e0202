package org.almondjunction.agent

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.post
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.json.Json
import org.almondjunction.common.Address
import org.almondjunction.common.RequestId
import org.almondjunction.common.UnknownReason
import org.almondjunction.decisions.EngineReport
import org.almondjunction.decisions.Order
import org.almondjunction.decisions.OrderReply
import org.almondjunction.decisions.ResidentKey
import org.almondjunction.protocol.Work
import java.net.ConnectException

/** Backend that is called over HTTP: an engine with an OpenAI-compatible completion API, or a plain service. */
internal class HttpBackend(
    private val address: Address,
    private val requestTimeoutMs: Long = 3_600_000,
) : Backend,
    AutoCloseable {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            engine {
                maxConnectionsCount = MAXIMUM_CONNECTIONS
                endpoint.maxConnectionsPerRoute = MAXIMUM_CONNECTIONS
                endpoint.connectAttempts = 1
            }
            install(HttpTimeout) { connectTimeoutMillis = CONTROL_TIMEOUT_MS }
        }
    private val json = Json { ignoreUnknownKeys = true }

    /** Fencing number of this process; one above the number in the engine's first report. */
    @Volatile
    private var fence = 1L

    override suspend fun order(order: Order): OrderReply {
        val body = json.encodeToString(OrderDocument.serializer(), OrderDocument.of(order, fence))
        return attempt {
            val response =
                client.post("http://$address/orders") {
                    timeout { requestTimeoutMillis = CONTROL_TIMEOUT_MS }
                    contentType(ContentType.Application.Json)
                    setBody(body)
                }
            when {
                response.status.isSuccess() -> OrderReply.ACCEPTED
                response.status == HttpStatusCode.Conflict -> OrderReply.REFUSED
                else -> OrderReply.LOST
            }
        } ?: OrderReply.LOST
    }

    override suspend fun report(): EngineReport? =
        attempt {
            val response = client.get("http://$address/report") { timeout { requestTimeoutMillis = CONTROL_TIMEOUT_MS } }
            if (!response.status.isSuccess()) return@attempt null
            val document = json.decodeFromString<ReportDocument>(response.bodyAsText())
            if (!fenceInitialized) {
                fence = document.fence + 1
                fenceInitialized = true
            }
            document.toReport()
        }

    @Volatile
    private var fenceInitialized = false

    override suspend fun run(
        id: RequestId,
        work: Work,
        resident: ResidentKey,
        priority: Int,
        answer: AnswerSink,
    ): BackendResult =
        when (work) {
            is Work.Completion -> complete(id, work, resident, priority, answer)
            is Work.PlainCall -> callPlain(id, work, answer)
        }

    private suspend fun complete(
        id: RequestId,
        work: Work.Completion,
        resident: ResidentKey,
        priority: Int,
        answer: AnswerSink,
    ): BackendResult {
        val check = CompletionCheck(answer)
        var result =
            transfer(check) {
                method = HttpMethod.Post
                url("http://$address${work.path}")
                header("X-Request-Id", id.value)
                header("X-Priority", priority)
                header("X-Model", resident.model.value)
                header("X-Model-Version", resident.version)
                resident.adapter?.let { header("X-Adapter", it.value) }
                contentType(ContentType.Application.Json)
                setBody(work.body)
            }
        var resumes = 0
        while (result is BackendResult.Failed && check.length > 0 && resumes++ < MAXIMUM_RESUMES) {
            result =
                transfer(check) {
                    method = HttpMethod.Get
                    url("http://$address/requests/${id.value}")
                    parameter("offset", check.length)
                }
        }
        return if (result == BackendResult.Complete && !check.complete) BackendResult.Failed(UnknownReason.ANSWER_INCOMPLETE) else result
    }

    private suspend fun callPlain(
        id: RequestId,
        work: Work.PlainCall,
        answer: AnswerSink,
    ): BackendResult =
        transfer(answer) {
            method = HttpMethod.parse(work.method)
            url("http://$address${work.path}")
            header("X-Request-Id", id.value)
            work.idempotencyKey?.let { header("Idempotency-Key", it) }
            work.contentType?.let { header(HttpHeaders.ContentType, it) }
            if (work.body.isNotEmpty()) setBody(work.body)
        }

    private suspend fun transfer(
        answer: AnswerSink,
        request: HttpRequestBuilder.() -> Unit,
    ): BackendResult =
        try {
            client
                .prepareRequest {
                    request()
                    timeout { requestTimeoutMillis = requestTimeoutMs }
                }.execute { response -> copy(response, answer) }
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (_: ConnectException) {
            BackendResult.NotStarted
        } catch (_: Exception) {
            BackendResult.Failed(UnknownReason.TARGET_LOST)
        }

    private suspend fun copy(
        response: HttpResponse,
        answer: AnswerSink,
    ): BackendResult {
        answer.head(response.status.value, response.headers[HttpHeaders.ContentType])
        val channel = response.bodyAsChannel()
        val buffer = ByteArray(COPY_BUFFER_BYTES)
        while (true) {
            val count = channel.readAvailable(buffer)
            if (count < 0) break
            if (count > 0) answer.append(buffer.copyOf(count))
        }
        channel.closedCause?.let { throw it }
        return BackendResult.Complete
    }

    override suspend fun cancel(id: RequestId) {
        attempt { client.delete("http://$address/requests/${id.value}") { timeout { requestTimeoutMillis = CONTROL_TIMEOUT_MS } } }
    }

    private suspend fun <T> attempt(block: suspend () -> T?): T? =
        try {
            block()
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (_: Exception) {
            null
        }

    override fun close(): Unit = client.close()

    private companion object {
        const val CONTROL_TIMEOUT_MS = 2_000L
        const val MAXIMUM_CONNECTIONS = 1_000
        const val MAXIMUM_RESUMES = 2
        const val COPY_BUFFER_BYTES = 16 * 1024
    }
}
