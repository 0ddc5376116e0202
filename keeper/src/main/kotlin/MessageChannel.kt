package org.almondjunction.keeper

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.network.ReadResult
import org.almondjunction.network.TcpConnection

/** Sends and receives messages on [connection] as frames: a length of four bytes, then the message in CBOR. */
public class MessageChannel(
    private val connection: TcpConnection,
) : AutoCloseable {
    /** Whether the connection has ended. */
    public val closed: Boolean get() = connection.closed

    /** Frames of several senders must not mix when the connection takes only a part of one. */
    private val sending = Mutex()

    /** Sends [message]; returns false when the connection has ended. */
    public suspend fun send(message: KeeperMessage): Boolean = sending.withLock { connection.write(encode(message)) }

    /** Returns the next message; null when the connection has ended or the peer sent an invalid frame. */
    public suspend fun receive(): KeeperMessage? {
        val input = connection.input
        while (input.size < LENGTH_BYTES) if (connection.fill() != ReadResult.DATA) return null
        val size = (0 until LENGTH_BYTES).fold(0) { sum, index -> (sum shl Byte.SIZE_BITS) or (input[index].toInt() and BYTE_MASK) }
        if (size !in 1..MAXIMUM_FRAME_BYTES) return null
        while (input.size < LENGTH_BYTES + size) if (connection.fill() != ReadResult.DATA) return null
        input.skip(LENGTH_BYTES)
        return decode(input.take(size))
    }

    override fun close(): Unit = connection.close()

    public companion object {
        private const val LENGTH_BYTES = 4
        private const val BYTE_MASK = 0xFF

        /** A status of 1,000 models takes about 60 KB. */
        private const val MAXIMUM_FRAME_BYTES = 256 * 1024

        @OptIn(ExperimentalSerializationApi::class)
        private val CODEC = Cbor { ignoreUnknownKeys = true }

        internal fun encode(message: KeeperMessage): ByteArray {
            val body = CODEC.encodeToByteArray(KeeperMessage.serializer(), message)
            val frame = ByteArray(LENGTH_BYTES + body.size)
            for (index in 0 until LENGTH_BYTES) frame[index] = (body.size ushr (Byte.SIZE_BITS * (LENGTH_BYTES - 1 - index))).toByte()
            body.copyInto(frame, LENGTH_BYTES)
            return frame
        }

        /** Returns the message in the body of a frame; null when it cannot be decoded. */
        internal fun decode(body: ByteArray): KeeperMessage? =
            try {
                CODEC.decodeFromByteArray(KeeperMessage.serializer(), body)
            } catch (failure: IllegalArgumentException) {
                logDecodingFailure(failure)
            } catch (failure: IllegalStateException) {
                // Thrown by the codec for lengths that reach beyond the frame.
                logDecodingFailure(failure)
            } catch (failure: IndexOutOfBoundsException) {
                logDecodingFailure(failure)
            }

        private fun logDecodingFailure(failure: RuntimeException): KeeperMessage? {
            EventLog.warn("message cannot be decoded", LogFields(reason = failure.toString()))
            return null
        }
    }
}
