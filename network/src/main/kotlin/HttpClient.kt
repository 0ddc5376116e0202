package org.almondjunction.network

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Address

/** Complete response to a call of [HttpClient]. */
public class HttpResponse(
    public val status: Int,
    public val headers: HttpHeaders,
    public val body: ByteArray,
)

/**
 * HTTP client for small calls to one address; calls run one at a time on a persistent connection.
 *
 * A call without a response may have been executed. A connection on which a response was lost is never reused.
 *
 * @param maximumBodyBytes limit for the body of a response; a longer one counts as lost
 */
public class HttpClient(
    private val loop: EventLoop,
    private val address: Address,
    private val connectTimeoutMs: Long = CONNECT_TIMEOUT_MS,
    private val maximumBodyBytes: Long = MAXIMUM_BODY_BYTES,
) : AutoCloseable {
    private val mutex = Mutex()
    private var idleConnection: TcpConnection? = null

    /** Sends one request; returns null when no complete response arrives within [timeoutMs]. */
    public suspend fun call(
        method: String,
        target: String,
        body: ByteArray? = null,
        headers: List<HttpHeader> = emptyList(),
        timeoutMs: Long,
    ): HttpResponse? = mutex.withLock { callLocked(method, target, body, headers, timeoutMs) }

    private suspend fun callLocked(
        method: String,
        target: String,
        body: ByteArray?,
        headers: List<HttpHeader>,
        timeoutMs: Long,
    ): HttpResponse? {
        val reused = idleConnection?.takeUnless { it.closed || it.tryFill() != null }
        idleConnection = null
        val connection = reused ?: TcpConnection.connect(loop, address, connectTimeoutMs) ?: return null
        var complete = false
        try {
            val response = withTimeoutOrNull(timeoutMs) { exchange(connection, method, target, body, headers) } ?: return null
            complete = true
            if (!response.headers.hasToken("Connection", "close") && connection.input.size == 0) idleConnection = connection
            return response
        } finally {
            if (!complete) {
                connection.abort()
            } else if (idleConnection !== connection) {
                connection.close()
            }
        }
    }

    private suspend fun exchange(
        connection: TcpConnection,
        method: String,
        target: String,
        body: ByteArray?,
        headers: List<HttpHeader>,
    ): HttpResponse? {
        val allHeaders = mutableListOf(HttpHeader("Host", address.toString()))
        allHeaders += headers
        if (body != null) allHeaders += HttpHeader("Content-Length", body.size.toString())
        if (!connection.write(HttpWriter.request(method, target, allHeaders), body ?: EMPTY_BODY)) return null
        val reader = HttpReader(connection)
        val head = (reader.responseHead(MAXIMUM_HEAD_BYTES) as? HeadResult.Read)?.head ?: return null
        val framing = HttpHeadParser.framingOf(head, method) ?: return null
        val content = reader.body(framing).readAll(maximumBodyBytes) as? BodyResult.Read ?: return null
        if (framing == BodyFraming.UntilEnd) connection.close()
        return HttpResponse(head.status, head.headers, content.bytes)
    }

    override fun close() {
        idleConnection?.close()
        idleConnection = null
    }

    private companion object {
        val EMPTY_BODY = ByteArray(0)

        /** Longer than any round trip between regions; a host that does not accept within this time is treated as unreachable. */
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val MAXIMUM_HEAD_BYTES = 16_384

        /** A few times the largest page that the platform's object store returns. */
        const val MAXIMUM_BODY_BYTES = 4L * 1024 * 1024
    }
}
