package org.almondjunction.network

/** Encodes heads and chunks of HTTP/1.1 messages. */
public object HttpWriter {
    /** Returns the head of a request. */
    public fun request(
        method: String,
        target: String,
        headers: List<HttpHeader>,
    ): ByteArray = head("$method $target HTTP/1.1", headers)

    /** Returns the head of a response. */
    public fun response(
        status: Int,
        headers: List<HttpHeader>,
    ): ByteArray = head("HTTP/1.1 $status ${reasonPhrase(status)}", headers)

    private fun head(
        startLine: String,
        headers: List<HttpHeader>,
    ): ByteArray {
        val text = StringBuilder(startLine).append("\r\n")
        headers.forEach {
            text
                .append(it.name)
                .append(": ")
                .append(it.value)
                .append("\r\n")
        }
        return text.append("\r\n").toString().toByteArray(Charsets.ISO_8859_1)
    }

    /** Encodes [bytes] as one chunk; [bytes] must not be empty. */
    public fun chunk(bytes: ByteArray): ByteArray {
        val size = Integer.toHexString(bytes.size).toByteArray(Charsets.ISO_8859_1)
        val chunk = ByteArray(size.size + bytes.size + 2 * LINE_END.size)
        size.copyInto(chunk)
        LINE_END.copyInto(chunk, size.size)
        bytes.copyInto(chunk, size.size + LINE_END.size)
        LINE_END.copyInto(chunk, chunk.size - LINE_END.size)
        return chunk
    }

    /** Last chunk and empty trailer section, which end a chunked body. */
    public val LAST_CHUNK: ByteArray = "0\r\n\r\n".toByteArray(Charsets.ISO_8859_1)

    private val LINE_END = "\r\n".toByteArray(Charsets.ISO_8859_1)

    private fun reasonPhrase(status: Int): String = REASON_PHRASES[status] ?: "Status"

    private val REASON_PHRASES =
        mapOf(
            100 to "Continue",
            200 to "OK",
            400 to "Bad Request",
            401 to "Unauthorized",
            404 to "Not Found",
            408 to "Request Timeout",
            413 to "Content Too Large",
            417 to "Expectation Failed",
            421 to "Misdirected Request",
            429 to "Too Many Requests",
            431 to "Request Header Fields Too Large",
            500 to "Internal Server Error",
            502 to "Bad Gateway",
            503 to "Service Unavailable",
            504 to "Gateway Timeout",
        )
}
