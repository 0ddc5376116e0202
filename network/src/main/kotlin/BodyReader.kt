package org.almondjunction.network

/** Reads one body part by part. */
public class BodyReader(
    private val read: suspend () -> BodyPart,
) {
    /** Returns the next part; no part follows [BodyPart.Complete] or [BodyPart.Broken]. */
    public suspend fun next(): BodyPart = read()

    /**
     * Reads the whole body, unless it is truncated, is longer than [maximumBytes] or exceeds the budget of [reservation]; nothing is
     * reserved for it then.
     */
    public suspend fun readAll(
        maximumBytes: Long,
        reservation: ByteBudget.Reservation? = null,
    ): BodyResult {
        val buffer = BodyBuffer(reservation)
        return readInto(buffer, maximumBytes).also { if (it !is BodyResult.Read) buffer.release() }
    }

    private suspend fun readInto(
        buffer: BodyBuffer,
        maximumBytes: Long,
    ): BodyResult {
        while (true) {
            when (val part = next()) {
                is BodyPart.Data -> {
                    if (buffer.size + part.bytes.size > maximumBytes) return BodyResult.TooLarge
                    if (!buffer.append(part.bytes)) return BodyResult.BudgetExceeded
                }
                BodyPart.Complete -> return BodyResult.Read(buffer.toByteArray())
                is BodyPart.Broken -> return BodyResult.Broken(part.detail)
            }
        }
    }
}

/** Result of one read from a body: a part of it, or how it ended. */
public sealed class BodyPart {
    /** Bytes of the body, in order. */
    public class Data(
        public val bytes: ByteArray,
    ) : BodyPart()

    /** The body is complete. */
    public data object Complete : BodyPart()

    /** The body is truncated or its framing is invalid. */
    public data class Broken(
        val detail: String,
    ) : BodyPart()
}

/** Outcome of reading a whole body. */
public sealed class BodyResult {
    /** The complete body. */
    public class Read(
        public val bytes: ByteArray,
    ) : BodyResult()

    /** The body exceeds the size limit. */
    public data object TooLarge : BodyResult()

    /** The [ByteBudget] of the process has no room for the body. */
    public data object BudgetExceeded : BodyResult()

    /** The body is truncated or its framing is invalid. */
    public data class Broken(
        val detail: String,
    ) : BodyResult()
}
