package org.almondjunction.network

/** Reads heads and bodies of HTTP/1.1 messages from [connection]; rejects messages that are ambiguous. */
public class HttpReader(
    private val connection: TcpConnection,
) {
    private val input get() = connection.input

    /** Reads the head of a request, which may have at most [maximumBytes]. */
    public suspend fun requestHead(maximumBytes: Int): HeadResult<RequestHead> =
        readHead(maximumBytes) { lines -> HttpHeadParser.parseRequest(lines) }

    /** Reads the head of a response, which may have at most [maximumBytes]. */
    public suspend fun responseHead(maximumBytes: Int): HeadResult<ResponseHead> =
        readHead(maximumBytes) { lines -> HttpHeadParser.parseResponse(lines) }

    private suspend fun <T> readHead(
        maximumBytes: Int,
        parse: (List<String>) -> HeadResult<T>,
    ): HeadResult<T> {
        val lines = mutableListOf<String>()
        var total = 0
        while (true) {
            val line =
                when (val result = readLine(maximumBytes - total)) {
                    is LineResult.Line -> result.text
                    LineResult.End -> return if (lines.isEmpty() && input.size == 0) HeadResult.End else HeadResult.Broken
                    LineResult.Reset -> return if (lines.isEmpty() && input.size == 0) HeadResult.End else HeadResult.Broken
                    LineResult.TooLong -> return HeadResult.TooLarge
                    LineResult.Malformed -> return HeadResult.Malformed("A line ends without a carriage return.")
                }
            total += line.length + LINE_END_BYTES
            if (line.isEmpty()) {
                if (lines.isEmpty()) continue
                return parse(lines)
            }
            lines += line
        }
    }

    private sealed class LineResult {
        data class Line(
            val text: String,
        ) : LineResult()

        data object End : LineResult()

        data object Reset : LineResult()

        data object TooLong : LineResult()

        data object Malformed : LineResult()
    }

    private suspend fun readLine(maximumBytes: Int): LineResult {
        var searched = 0
        while (true) {
            val lineFeed = input.indexOfLineFeed(searched)
            if (lineFeed > maximumBytes || (lineFeed < 0 && input.size > maximumBytes)) return LineResult.TooLong
            if (lineFeed >= 0) {
                if (lineFeed == 0 || input[lineFeed - 1] != CARRIAGE_RETURN) return LineResult.Malformed
                val text = input.takeText(lineFeed - 1)
                input.skip(LINE_END_BYTES)
                return LineResult.Line(text)
            }
            searched = input.size
            when (connection.fill()) {
                ReadResult.DATA -> Unit
                ReadResult.END -> return LineResult.End
                ReadResult.RESET -> return LineResult.Reset
            }
        }
    }

    /** Returns a reader of the body that follows a head. */
    public fun body(framing: BodyFraming): BodyReader =
        when (framing) {
            BodyFraming.None -> BodyReader { BodyPart.Complete }
            is BodyFraming.Length -> lengthBody(framing.bytes)
            BodyFraming.Chunked -> chunkedBody()
            BodyFraming.UntilEnd -> BodyReader { readUntilEnd() }
        }

    private fun lengthBody(length: Long): BodyReader {
        var remaining = length
        return BodyReader {
            when {
                remaining == 0L -> BodyPart.Complete
                input.size == 0 && connection.fill() != ReadResult.DATA -> BodyPart.Broken("The body ended $remaining bytes early.")
                else -> BodyPart.Data(input.take(minOf(remaining, input.size.toLong()).toInt())).also { remaining -= it.bytes.size }
            }
        }
    }

    private suspend fun readUntilEnd(): BodyPart {
        if (input.size > 0) return BodyPart.Data(input.take(input.size))
        return when (connection.fill()) {
            ReadResult.DATA -> BodyPart.Data(input.take(input.size))
            ReadResult.END -> BodyPart.Complete
            ReadResult.RESET -> BodyPart.Broken("The connection was reset inside a body without length.")
        }
    }

    private fun chunkedBody(): BodyReader {
        var remaining = 0L
        var first = true
        return BodyReader {
            if (remaining == 0L) {
                if (!first && !readChunkEnd()) return@BodyReader BodyPart.Broken("A chunk does not end where its size says.")
                first = false
                remaining = readChunkSize() ?: return@BodyReader BodyPart.Broken("The size of a chunk cannot be read.")
                if (remaining == 0L) return@BodyReader if (readTrailers()) BodyPart.Complete else BodyPart.Broken("The trailer broke off.")
            }
            if (input.size == 0 && connection.fill() != ReadResult.DATA) {
                return@BodyReader BodyPart.Broken("A chunk ended $remaining bytes early.")
            }
            BodyPart.Data(input.take(minOf(remaining, input.size.toLong()).toInt())).also { remaining -= it.bytes.size }
        }
    }

    private suspend fun readChunkEnd(): Boolean = (readLine(LINE_END_BYTES) as? LineResult.Line)?.text?.isEmpty() == true

    private suspend fun readChunkSize(): Long? {
        val line = (readLine(MAXIMUM_CHUNK_LINE_BYTES) as? LineResult.Line)?.text ?: return null
        val digits = line.substringBefore(';').trimEnd(' ', '\t')
        if (digits.isEmpty() || digits.length > MAXIMUM_CHUNK_DIGITS || !digits.all { it.isHexDigit() }) return null
        return digits.toLong(HEXADECIMAL_RADIX)
    }

    private fun Char.isHexDigit() = this in '0'..'9' || this in 'a'..'f' || this in 'A'..'F'

    private suspend fun readTrailers(): Boolean {
        repeat(MAXIMUM_TRAILERS) {
            val line = (readLine(MAXIMUM_CHUNK_LINE_BYTES) as? LineResult.Line)?.text ?: return false
            if (line.isEmpty()) return true
        }
        return false
    }

    private companion object {
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val LINE_END_BYTES = 2
        const val HEXADECIMAL_RADIX = 16
        const val MAXIMUM_CHUNK_DIGITS = 15

        /** Limit for one chunk-size or trailer line; a common value among HTTP servers. */
        const val MAXIMUM_CHUNK_LINE_BYTES = 4_096
        const val MAXIMUM_TRAILERS = 64
    }
}
