package org.almondjunction.network

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Address

/** A whole answer to a small call. */
public class HttpReply(
    public val status: Int,
    public val headers: HttpHeaders,
    public val body: ByteArray,
)

/**
 * Makes small calls to one address, one after another on a kept connection.
 *
 * A call without an answer may have been executed. A connection on which an answer was lost is never used again.
 */
public class HttpCaller(
    private val loop: EventLoop,
    private val address: Address,
    private val connectTimeoutMs: Long = CONNECT_TIMEOUT_MS,
) : AutoCloseable {
    private val turn = Mutex()
    private var kept: TcpConnection? = null

    /** Makes one call; null when no whole answer came within [timeoutMs]. */
    public suspend fun call(
        method: String,
        target: String,
        body: ByteArray? = null,
        headers: List<HttpHeader> = emptyList(),
        timeoutMs: Long,
    ): HttpReply? = turn.withLock { callInTurn(method, target, body, headers, timeoutMs) }

    private suspend fun callInTurn(
        method: String,
        target: String,
        body: ByteArray?,
        headers: List<HttpHeader>,
        timeoutMs: Long,
    ): HttpReply? {
        val reused = kept?.takeUnless { it.closed || it.fillNow() != null }
        kept = null
        val connection = reused ?: TcpConnection.dial(loop, address, connectTimeoutMs) ?: return null
        var whole = false
        try {
            val reply = withTimeoutOrNull(timeoutMs) { exchange(connection, method, target, body, headers) } ?: return null
            whole = true
            if (!reply.headers.hasToken("Connection", "close") && connection.input.size == 0) kept = connection
            return reply
        } finally {
            if (!whole) {
                connection.abort()
            } else if (kept !== connection) {
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
    ): HttpReply? {
        val all = mutableListOf(HttpHeader("Host", address.toString()))
        all += headers
        if (body != null) all += HttpHeader("Content-Length", body.size.toString())
        if (!connection.write(HttpWriter.request(method, target, all), body ?: EMPTY)) return null
        val reader = HttpReader(connection)
        val head = (reader.responseHead(MAXIMUM_HEAD_BYTES) as? HeadResult.Read)?.head ?: return null
        val framing = HttpHeadParser.framingOf(head, method) ?: return null
        val answer = reader.body(framing).whole(MAXIMUM_BODY_BYTES) as? WholeBody.Read ?: return null
        if (framing == BodyFraming.UntilEnd) connection.close()
        return HttpReply(head.status, head.headers, answer.bytes)
    }

    override fun close() {
        kept?.close()
        kept = null
    }

    private companion object {
        val EMPTY = ByteArray(0)

        /** A host that cannot be reached within this time counts as gone; above any round trip between regions. */
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val MAXIMUM_HEAD_BYTES = 16_384

        /** A few times the largest page that the platform's store gives. */
        const val MAXIMUM_BODY_BYTES = 4L * 1024 * 1024
    }
}
