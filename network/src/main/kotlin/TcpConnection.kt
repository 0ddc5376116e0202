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
import java.nio.channels.UnsupportedAddressTypeException
import kotlin.coroutines.resume

/** Result of reading from a connection. */
public enum class ReadResult {
    /** At least one byte was received. */
    DATA,

    /** The peer closed its side cleanly. */
    END,

    /** The connection failed. */
    RESET,
}

/**
 * A TCP connection on an [EventLoop]; received bytes are buffered in [input].
 *
 * At most one coroutine may read and one may write at a time.
 */
public class TcpConnection internal constructor(
    private val loop: EventLoop,
    private val channel: SocketChannel,
) : AutoCloseable {
    /** Bytes that were received and not consumed yet. */
    public val input: InputBuffer = InputBuffer()

    /** Whether the connection was closed by this side or an I/O error was detected. */
    public var closed: Boolean = false
        private set

    /** Number of bytes passed to the operating system for sending. */
    public var bytesWritten: Long = 0
        private set

    private var lastReadTurn = 0L
    private var bytesReadInTurn = 0

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

    /**
     * Reads the available bytes into [input]; suspends until there is at least one, an end or a failure.
     *
     * Suspends also when this connection has had its share of the loop's current turn, so that a peer that sends faster than its bytes are
     * processed does not keep the loop from other connections.
     */
    public suspend fun fill(): ReadResult {
        while (true) {
            val result = if (mayRead()) tryFill() else null
            if (result != null) return result
            if (key.interestOps() and SelectionKey.OP_READ == 0) key.interestOpsOr(SelectionKey.OP_READ)
            suspendCancellableCoroutine { continuation ->
                readWaiter = continuation
                continuation.invokeOnCancellation { if (readWaiter === continuation) readWaiter = null }
            }
        }
    }

    private fun mayRead(): Boolean = closed || lastReadTurn != loop.turn || bytesReadInTurn < MAXIMUM_BYTES_PER_TURN

    /** Reads the available bytes into [input] without suspending; returns null when there are none. */
    public fun tryFill(): ReadResult? {
        if (closed) return ReadResult.RESET
        val count =
            try {
                channel.read(input.writableSpace())
            } catch (_: IOException) {
                close()
                return ReadResult.RESET
            }
        if (count > 0) recordRead(count)
        return when {
            count > 0 -> ReadResult.DATA
            count < 0 -> ReadResult.END
            else -> null
        }
    }

    private fun recordRead(count: Int) {
        input.commit(count)
        bytesReadInTurn = if (lastReadTurn == loop.turn) bytesReadInTurn + count else count
        lastReadTurn = loop.turn
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

    /** Closes the connection; a suspended read or write resumes and reports a failure. */
    override fun close() {
        if (closed) return
        closed = true
        key.cancel()
        try {
            channel.close()
        } catch (_: IOException) {
            // The descriptor is released nevertheless, and no caller depends on the error.
        }
        readWaiter?.resume(Unit)
        writeWaiter?.resume(Unit)
        readWaiter = null
        writeWaiter = null
    }

    /** Resets the connection, so that the peer sees a failure instead of a clean end. */
    public fun abort() {
        if (!closed) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0)
            } catch (_: IOException) {
                // Without the option the peer sees a clean end; every message is framed, so it still detects the truncation.
            }
        }
        close()
    }

    public companion object {
        /** More than most messages have; little enough that a connection with small chunks does not delay the others noticeably. */
        private const val MAXIMUM_BYTES_PER_TURN = 64 * 1024

        /** Connects to [address]; returns null when that fails or takes longer than [timeoutMs]. */
        public suspend fun connect(
            loop: EventLoop,
            address: Address,
            timeoutMs: Long,
        ): TcpConnection? {
            val channel =
                try {
                    SocketChannel.open()
                } catch (failure: IOException) {
                    EventLog.warn("could not open a socket", LogFields(reason = failure.toString()))
                    return null
                }
            return try {
                channel.configureBlocking(false)
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                val connected = channel.connect(InetSocketAddress(address.ip, address.port))
                if (!connected && !finishConnecting(loop, channel, timeoutMs)) {
                    channel.close()
                    return null
                }
                TcpConnection(loop, channel)
            } catch (_: IOException) {
                channel.close()
                null
            } catch (_: UnsupportedAddressTypeException) {
                // This host has no sockets of the address's family.
                channel.close()
                null
            }
        }

        private suspend fun finishConnecting(
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
