package org.almondjunction.network

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Address
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import kotlin.coroutines.resume

/** What a read from a connection met. */
public enum class ReadResult {
    /** At least one byte arrived. */
    DATA,

    /** The peer closed its side in order. */
    END,

    /** The connection failed. */
    RESET,
}

/**
 * A TCP connection on an [EventLoop], with the bytes that were read but not used yet in [input].
 *
 * One coroutine at a time may read, and one may write.
 */
public class TcpConnection internal constructor(
    loop: EventLoop,
    private val channel: SocketChannel,
) : AutoCloseable {
    /** Bytes that were received and not used yet. */
    public val input: InputBuffer = InputBuffer()

    /** Whether this side has closed the connection, or found it closed or failed. */
    public var closed: Boolean = false
        private set

    /** Whether any byte was handed to the network. */
    public var bytesWritten: Long = 0
        private set

    private var readWaiter: CancellableContinuation<Unit>? = null
    private var writeWaiter: CancellableContinuation<Unit>? = null
    private val key: SelectionKey = loop.register(channel, SelectionKey.OP_READ) { onEvent() }

    private fun onEvent() {
        val events = key.readyOps()
        if (events and SelectionKey.OP_READ != 0) {
            val waiter = readWaiter
            readWaiter = null
            if (waiter == null) key.interestOpsAnd(SelectionKey.OP_READ.inv()) else waiter.resume(Unit)
        }
        if (events and SelectionKey.OP_WRITE != 0) {
            key.interestOpsAnd(SelectionKey.OP_WRITE.inv())
            val waiter = writeWaiter
            writeWaiter = null
            waiter?.resume(Unit)
        }
    }

    /** Adds what has arrived to [input], waiting for the first byte. */
    public suspend fun fill(): ReadResult {
        while (true) {
            val result = fillNow()
            if (result != null) return result
            if (key.interestOps() and SelectionKey.OP_READ == 0) key.interestOpsOr(SelectionKey.OP_READ)
            suspendCancellableCoroutine { continuation ->
                readWaiter = continuation
                continuation.invokeOnCancellation { if (readWaiter === continuation) readWaiter = null }
            }
        }
    }

    /** Adds what has arrived to [input]; returns null when nothing has. */
    public fun fillNow(): ReadResult? {
        if (closed) return ReadResult.RESET
        val count =
            try {
                channel.read(input.space())
            } catch (_: IOException) {
                close()
                return ReadResult.RESET
            }
        if (count > 0) input.filled(count)
        return when {
            count > 0 -> ReadResult.DATA
            count < 0 -> ReadResult.END
            else -> null
        }
    }

    /** Writes all of [bytes]; returns false when the connection has failed. */
    public suspend fun write(vararg bytes: ByteArray): Boolean {
        val buffers = Array(bytes.size) { ByteBuffer.wrap(bytes[it]) }
        while (!closed) {
            try {
                bytesWritten += channel.write(buffers)
            } catch (_: IOException) {
                close()
                return false
            }
            if (buffers.none { it.hasRemaining() }) return true
            key.interestOpsOr(SelectionKey.OP_WRITE)
            suspendCancellableCoroutine { continuation ->
                writeWaiter = continuation
                continuation.invokeOnCancellation { if (writeWaiter === continuation) writeWaiter = null }
            }
        }
        return false
    }

    /** Closes the connection; whoever waits on it sees it as failed. */
    override fun close() {
        if (closed) return
        closed = true
        key.cancel()
        try {
            channel.close()
        } catch (_: IOException) {
            // The descriptor is released all the same; there is nobody left to tell.
        }
        readWaiter?.resume(Unit)
        writeWaiter?.resume(Unit)
        readWaiter = null
        writeWaiter = null
    }

    /** Closes the connection so that the peer sees a failure instead of an end. */
    public fun abort() {
        if (!closed) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0)
            } catch (_: IOException) {
                // Without the option the peer sees an end; every message is framed, so it still notices.
            }
        }
        close()
    }

    public companion object {
        /** Connects to [address]; null when that fails or takes longer than [timeoutMs]. */
        public suspend fun dial(
            loop: EventLoop,
            address: Address,
            timeoutMs: Long,
        ): TcpConnection? {
            val channel =
                try {
                    SocketChannel.open()
                } catch (failure: IOException) {
                    EventLog.warn("no connection opened", LogFields(reason = failure.toString()))
                    return null
                }
            return try {
                channel.configureBlocking(false)
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                val connected = channel.connect(InetSocketAddress(address.ip, address.port))
                if (!connected && !finish(loop, channel, timeoutMs)) {
                    channel.close()
                    return null
                }
                TcpConnection(loop, channel)
            } catch (_: IOException) {
                channel.close()
                null
            }
        }

        private suspend fun finish(
            loop: EventLoop,
            channel: SocketChannel,
            timeoutMs: Long,
        ): Boolean {
            val finished =
                withTimeoutOrNull(timeoutMs) {
                    suspendCancellableCoroutine { continuation ->
                        loop.register(channel, SelectionKey.OP_CONNECT) { key ->
                            key.interestOps(0)
                            if (continuation.isActive) continuation.resume(Unit)
                        }
                        continuation.invokeOnCancellation { channel.close() }
                    }
                    channel.finishConnect()
                }
            return finished == true
        }
    }
}
