package org.almondjunction.protocol

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.almondjunction.common.Address
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics

/**
 * A connection to another process of the system. Each frame consists of a four-byte length and a CBOR [Message].
 *
 * A peer that sends an oversized or unreadable frame is disconnected and counted in [metrics].
 */
public class Connection private constructor(
    private val socket: Socket,
    private val scope: CoroutineScope,
    private val metrics: Metrics,
) {
    private val outgoing = Channel<Message>(OUTGOING_CAPACITY)
    private lateinit var jobs: List<Job>

    /** Whether the connection has ended. */
    @Volatile
    public var closed: Boolean = false
        private set

    /** Queues [message]; suspends while the queue is full. Returns false if the connection has ended. */
    public suspend fun send(message: Message): Boolean =
        try {
            outgoing.send(message)
            true
        } catch (cancellation: CancellationException) {
            currentCoroutineContext().ensureActive()
            false
        } catch (_: Exception) {
            false
        }

    /** Closes the connection without sending the queued messages. */
    public fun close() {
        closed = true
        outgoing.cancel()
        socket.close()
        jobs.forEach { it.cancel() }
    }

    private fun start(
        onMessage: suspend (Connection, Message) -> Unit,
        onClosed: suspend (Connection) -> Unit,
    ) {
        val writer = scope.launch(start = CoroutineStart.LAZY) { runUntilDisconnected { write() } }
        val reader =
            scope.launch(start = CoroutineStart.LAZY) {
                runUntilDisconnected { read { onMessage(this@Connection, it) } }
                closed = true
                // Resumes senders that are suspended because the queue is full.
                outgoing.cancel()
                socket.close()
                writer.cancel()
                onClosed(this@Connection)
            }
        jobs = listOf(reader, writer)
        writer.start()
        reader.start()
    }

    private suspend fun runUntilDisconnected(block: suspend () -> Unit) {
        try {
            block()
        } catch (_: CancellationException) {
            // A closed socket cancels its channels. Cancellation is propagated only if the scope itself was cancelled.
            scope.ensureActive()
        } catch (_: Exception) {
            closed = true
        }
        socket.close()
    }

    private suspend fun write() {
        val channel = socket.openWriteChannel(autoFlush = false)
        for (first in outgoing) {
            var message: Message? = first
            while (message != null) {
                val frame = CODEC.encodeToByteArray(Message.serializer(), message)
                channel.writeInt(frame.size)
                channel.writeByteArray(frame)
                if (message !is Message.RequestMessage) metrics.count(MetricName.CONTROL_BYTES, "sent", frame.size.toDouble())
                message = outgoing.tryReceive().getOrNull()
            }
            channel.flush()
        }
    }

    private suspend fun read(onMessage: suspend (Message) -> Unit) {
        val channel = socket.openReadChannel()
        while (true) {
            val size = channel.readInt()
            if (size !in 1..MAXIMUM_FRAME_BYTES) return metrics.count(MetricName.PROTOCOL_ERRORS, "frame-size")
            val frame = channel.readByteArray(size)
            val message =
                try {
                    CODEC.decodeFromByteArray(Message.serializer(), frame)
                } catch (_: IllegalArgumentException) {
                    return metrics.count(MetricName.PROTOCOL_ERRORS, "unreadable")
                }
            if (message !is Message.RequestMessage) metrics.count(MetricName.CONTROL_BYTES, "received", frame.size.toDouble())
            onMessage(message)
        }
    }

    public companion object {
        /** Largest frame that a connection accepts, in bytes. */
        public const val MAXIMUM_FRAME_BYTES: Int = 8 * 1024 * 1024

        private const val OUTGOING_CAPACITY = 256
        private const val DIAL_TIMEOUT_MS = 1_000L

        @OptIn(ExperimentalSerializationApi::class)
        private val CODEC = Cbor { ignoreUnknownKeys = true }

        /** Connects to [address]; returns null if it cannot be reached within [timeoutMs]. */
        public suspend fun dial(
            selector: SelectorManager,
            address: Address,
            scope: CoroutineScope,
            metrics: Metrics,
            onMessage: suspend (Connection, Message) -> Unit,
            onClosed: suspend (Connection) -> Unit,
            timeoutMs: Long = DIAL_TIMEOUT_MS,
        ): Connection? {
            val socket =
                try {
                    withTimeoutOrNull(timeoutMs) { aSocket(selector).tcp().connect(address.ip, address.port) { noDelay = true } }
                } catch (_: CancellationException) {
                    currentCoroutineContext().ensureActive()
                    null
                } catch (_: Exception) {
                    null
                }
            return socket?.let { Connection(it, scope, metrics).apply { start(onMessage, onClosed) } }
        }

        /** Creates a connection from the accepted [socket], which it then owns. */
        public fun accept(
            socket: Socket,
            scope: CoroutineScope,
            metrics: Metrics,
            onMessage: suspend (Connection, Message) -> Unit,
            onClosed: suspend (Connection) -> Unit,
        ): Connection = Connection(socket, scope, metrics).apply { start(onMessage, onClosed) }
    }
}
