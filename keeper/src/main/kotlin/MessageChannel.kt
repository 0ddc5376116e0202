package org.almondjunction.keeper

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.network.ReadResult
import org.almondjunction.network.TcpConnection

/** Frames of a four-byte length and a CBOR message on [connection]. */
public class MessageChannel(
    private val connection: TcpConnection,
) : AutoCloseable {
    /** Whether the connection has ended. */
    public val closed: Boolean get() = connection.closed

    /** Sends [message]; returns false when the connection has ended. */
    public suspend fun send(message: KeeperMessage): Boolean = connection.write(encode(message))

    /** Returns the next message; null when the connection has ended or the peer sent something else. */
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

        /** Bound on a frame; a status of 1,000 models takes about 60 KB. */
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

        /** Returns the message in the body of a frame; null when it cannot be read. */
        internal fun decode(body: ByteArray): KeeperMessage? =
            try {
                CODEC.decodeFromByteArray(KeeperMessage.serializer(), body)
            } catch (failure: IllegalArgumentException) {
                unreadable(failure)
            } catch (failure: IllegalStateException) {
                // The codec's answer to lengths that reach beyond the frame.
                unreadable(failure)
            } catch (failure: IndexOutOfBoundsException) {
                unreadable(failure)
            }

        private fun unreadable(failure: RuntimeException): KeeperMessage? {
            EventLog.warn("unreadable message", LogFields(reason = failure.toString()))
            return null
        }
    }
}
