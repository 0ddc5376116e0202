package org.almondjunction.gateway

import org.almondjunction.common.RefusalStatus
import org.almondjunction.network.HttpHeader
import org.almondjunction.network.HttpVersion
import org.almondjunction.network.HttpWriter
import org.almondjunction.network.RequestHead
import org.almondjunction.network.ResponseHead
import org.almondjunction.network.TcpConnection

/** Response to one request of a caller; can be written only once. */
internal class CallerAnswer(
    private val connection: TcpConnection,
    private val request: RequestHead?,
    private val stopping: () -> Boolean = { false },
) {
    /** Whether the head was written; after that a failure can only be signalled by closing the connection. */
    var begun = false
        private set

    /** Whether the response is complete. */
    var complete = false
        private set

    /** Whether the connection must be closed after this response. */
    var closesConnection = request == null || request.version == HttpVersion.HTTP_1_0 || request.headers.hasToken("Connection", "close")

    /** Writes an error response of the gateway itself. */
    suspend fun refuse(
        status: Int,
        reason: String,
        retryAfterMs: Long? = null,
    ) {
        val body = "{\"status\":$status,\"reason\":\"$reason\"}\n".toByteArray()
        val headers = mutableListOf(HttpHeader("Content-Type", "application/problem+json"))
        if (retryAfterMs != null) headers += HttpHeader("Retry-After", seconds(retryAfterMs))
        writeComplete(status, headers, body)
    }

    /** Writes the response of a target with its complete [body]; only the gateway itself states by a status that a request has not run. */
    suspend fun relay(
        head: ResponseHead,
        body: ByteArray,
    ) {
        check(head.status !in RefusalStatus) { "A target's status ${head.status} would state that the request has not run." }
        writeComplete(head.status, head.headers.endToEnd(), body)
    }

    private suspend fun writeComplete(
        status: Int,
        headers: List<HttpHeader>,
        body: ByteArray,
    ) {
        check(!begun) { "The response has already begun." }
        begun = true
        val all = headers + HttpHeader("Content-Length", body.size.toString()) + connectionHeaders()
        val written = if (request?.method == "HEAD") EMPTY else body
        complete = connection.write(HttpWriter.response(status, all), written)
    }

    /** Writes the head of a response of unknown length. */
    suspend fun begin(head: ResponseHead) {
        check(!begun) { "The response has already begun." }
        begun = true
        val framing = if (closesWithBody) emptyList() else listOf(HttpHeader("Transfer-Encoding", "chunked"))
        connection.write(HttpWriter.response(head.status, head.headers.endToEnd() + framing + connectionHeaders()))
    }

    /** Writes [bytes] of the body; returns false if the caller has disconnected. */
    suspend fun add(bytes: ByteArray): Boolean = bytes.isEmpty() || connection.write(if (closesWithBody) bytes else HttpWriter.chunk(bytes))

    /** Ends the body as complete. */
    suspend fun end() {
        complete = closesWithBody || connection.write(HttpWriter.LAST_CHUNK)
    }

    /** Resets the connection of an incomplete response if a regular close would make it look complete. */
    fun abortIfIncomplete() {
        if (begun && !complete && closesWithBody) connection.abort()
    }

    private val closesWithBody get() = request?.version == HttpVersion.HTTP_1_0

    private fun connectionHeaders(): List<HttpHeader> {
        closesConnection = closesConnection || stopping()
        return if (closesConnection) listOf(HttpHeader("Connection", "close")) else emptyList()
    }

    private companion object {
        val EMPTY = ByteArray(0)
        const val MILLISECONDS_PER_SECOND = 1_000.0

        fun seconds(durationMs: Long): String = "%.2f".format(java.util.Locale.ROOT, durationMs / MILLISECONDS_PER_SECOND)
    }
}
