package org.almondjunction.network

/** One header line. */
public data class HttpHeader(
    val name: String,
    val value: String,
)

/** Header lines in order. Names are case-insensitive. */
public class HttpHeaders(
    public val lines: List<HttpHeader>,
) {
    /** Returns the first value of [name], or null. */
    public operator fun get(name: String): String? = lines.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns every value of [name]. */
    public fun all(name: String): List<String> = lines.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

    /** Returns whether a comma-separated list under [name] contains [token]. */
    public fun hasToken(
        name: String,
        token: String,
    ): Boolean = all(name).any { value -> value.split(',').any { it.trim().equals(token, ignoreCase = true) } }

    /** Returns the lines that a proxy forwards: no framing and no hop-by-hop headers (RFC 9110, including those named in `Connection`). */
    public fun endToEnd(): List<HttpHeader> {
        val named = all("Connection").flatMap { value -> value.split(',').map { it.trim().lowercase() } }
        return lines.filter { it.name.lowercase() !in HOP_BY_HOP && it.name.lowercase() !in named }
    }

    private companion object {
        val HOP_BY_HOP =
            setOf(
                "connection",
                "keep-alive",
                "proxy-connection",
                "transfer-encoding",
                "content-length",
                "te",
                "trailer",
                "upgrade",
                "expect",
            )
    }
}

/** Start line and headers of a request. */
public data class RequestHead(
    val method: String,
    val target: String,
    val headers: HttpHeaders,
    val version: HttpVersion = HttpVersion.HTTP_1_1,
)

/** Start line and headers of a response. */
public data class ResponseHead(
    val status: Int,
    val headers: HttpHeaders,
    val version: HttpVersion = HttpVersion.HTTP_1_1,
)

/** Supported HTTP versions. */
public enum class HttpVersion(
    internal val text: String,
) {
    HTTP_1_0("HTTP/1.0"),
    HTTP_1_1("HTTP/1.1"),
}

/** How the end of a body is determined. */
public sealed class BodyFraming {
    /** There is no body. */
    public data object None : BodyFraming()

    /** The body has [bytes] bytes. */
    public data class Length(
        val bytes: Long,
    ) : BodyFraming()

    /** The body uses chunked transfer coding. */
    public data object Chunked : BodyFraming()

    /** The body ends when the connection is closed. */
    public data object UntilEnd : BodyFraming()
}

/** Outcome of reading a head from a connection. */
public sealed class HeadResult<out T> {
    /** A complete head. */
    public data class Read<T>(
        val head: T,
    ) : HeadResult<T>()

    /** The connection ended before the first byte of a head. */
    public data object End : HeadResult<Nothing>()

    /** The connection ended or failed inside a head. */
    public data object Broken : HeadResult<Nothing>()

    /** The received bytes are not a valid HTTP head. */
    public data class Malformed(
        val detail: String,
    ) : HeadResult<Nothing>()

    /** The head exceeds the size limit. */
    public data object TooLarge : HeadResult<Nothing>()
}
