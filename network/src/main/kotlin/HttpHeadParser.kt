package org.almondjunction.network

/** Parses the start line and headers of a message, and determines the framing of its body (RFC 9112). */
public object HttpHeadParser {
    internal fun parseRequest(lines: List<String>): HeadResult<RequestHead> {
        val parts = lines.first().split(' ')
        val version = parts.getOrNull(2)?.let { text -> HttpVersion.entries.firstOrNull { it.text == text } }
        if (parts.size != REQUEST_LINE_PARTS || version == null || !parts[0].isToken() || parts[1].isEmpty()) {
            return HeadResult.Malformed("The request line cannot be read.")
        }
        if (parts[1].any { it <= ' ' || it == DELETE }) return HeadResult.Malformed("The request target holds a control character.")
        val headers = parseHeaders(lines) ?: return HeadResult.Malformed("A header line cannot be read.")
        return HeadResult.Read(RequestHead(parts[0], parts[1], headers, version))
    }

    internal fun parseResponse(lines: List<String>): HeadResult<ResponseHead> {
        val parts = lines.first().split(' ', limit = REQUEST_LINE_PARTS)
        val version = HttpVersion.entries.firstOrNull { it.text == parts[0] }
        val status = parts.getOrNull(1)?.takeIf { it.length == STATUS_DIGITS }?.toIntOrNull()
        if (version == null || status == null || status !in VALID_STATUSES) return HeadResult.Malformed("The status line cannot be read.")
        val headers = parseHeaders(lines) ?: return HeadResult.Malformed("A header line cannot be read.")
        return HeadResult.Read(ResponseHead(status, headers, version))
    }

    private fun parseHeaders(lines: List<String>): HttpHeaders? {
        val headers = ArrayList<HttpHeader>(lines.size)
        for (index in 1 until lines.size) {
            val line = lines[index]
            val colon = line.indexOf(':')
            if (colon <= 0) return null
            val name = line.substring(0, colon)
            val value = line.substring(colon + 1).trim(' ', '\t')
            if (!name.isToken() || value.any { (it < ' ' && it != '\t') || it == DELETE }) return null
            headers += HttpHeader(name, value)
        }
        return HttpHeaders(headers)
    }

    private fun String.isToken() = isNotEmpty() && all { it.isLetterOrDigit() && it.code < DELETE.code || it in TOKEN_SYMBOLS }

    /** Returns the framing of a request's body; null when its headers contradict each other. */
    public fun framingOf(head: RequestHead): BodyFraming? {
        val lengths = head.headers.all("Content-Length")
        val encodings = head.headers.all("Transfer-Encoding")
        if (encodings.isNotEmpty()) {
            val chunked = encodings.size == 1 && encodings[0].equals("chunked", ignoreCase = true)
            return if (chunked && lengths.isEmpty() && head.version == HttpVersion.HTTP_1_1) BodyFraming.Chunked else null
        }
        if (lengths.isEmpty()) return BodyFraming.None
        return lengthFraming(lengths)
    }

    /** Returns the framing of a response's body; null when its headers contradict each other. */
    public fun framingOf(
        head: ResponseHead,
        method: String,
    ): BodyFraming? {
        if (method == "HEAD" || head.status == NO_CONTENT || head.status == NOT_MODIFIED) return BodyFraming.None
        val lengths = head.headers.all("Content-Length")
        val encodings = head.headers.all("Transfer-Encoding")
        if (encodings.isNotEmpty()) {
            val chunked = encodings.size == 1 && encodings[0].equals("chunked", ignoreCase = true)
            return if (chunked && lengths.isEmpty()) BodyFraming.Chunked else null
        }
        return if (lengths.isEmpty()) BodyFraming.UntilEnd else lengthFraming(lengths)
    }

    private fun lengthFraming(values: List<String>): BodyFraming? {
        val text = values.distinct().singleOrNull() ?: return null
        if (text.isEmpty() || text.length > MAXIMUM_LENGTH_DIGITS || !text.all { it in '0'..'9' }) return null
        return BodyFraming.Length(text.toLong())
    }

    private const val REQUEST_LINE_PARTS = 3
    private const val STATUS_DIGITS = 3
    private val VALID_STATUSES = 100..599
    private const val NO_CONTENT = 204
    private const val NOT_MODIFIED = 304
    private const val MAXIMUM_LENGTH_DIGITS = 15
    private const val DELETE = '\u007F'
    private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"
}
