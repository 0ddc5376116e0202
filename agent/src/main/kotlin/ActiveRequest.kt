package org.almondjunction.agent

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.almondjunction.common.RequestId
import org.almondjunction.protocol.Connection
import org.almondjunction.protocol.Message
import org.almondjunction.protocol.Work
import java.io.ByteArrayOutputStream

/**
 * A request that an agent processes, with the part of its answer that the backend has produced so far.
 *
 * Until the request is removed from the agent, its answer can be sent again from any offset over another connection.
 */
internal class ActiveRequest(
    val id: RequestId,
    val work: Work,
    val priority: Int,
    val deadlineMs: Long,
    private val scope: CoroutineScope,
) : AnswerSink {
    private val lock = Any()
    private val bytes = ExposedStream()
    private var head: Message.Head? = null
    private var terminal: Message.RequestMessage? = null
    private var sender: Job? = null
    private var signal = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var acknowledged = 0L

    /** Coroutine that runs the request; null while the request is queued. */
    @Volatile
    var runner: Job? = null

    /** Connection over which the answer is sent; null if there is none. */
    @Volatile
    var connection: Connection? = null
        private set

    private val sentOrAbandoned = CompletableDeferred<Unit>()

    /** Whether the end of the answer has been sent or the answer has been abandoned. */
    val sent: Boolean get() = sentOrAbandoned.isCompleted

    /** Whether the request has ended. */
    val ended: Boolean get() = synchronized(lock) { terminal != null }

    /** Number of bytes of the answer received from the backend so far. */
    val length: Long get() = synchronized(lock) { bytes.size().toLong() }

    override fun head(
        status: Int,
        contentType: String?,
    ) = change { if (head == null) head = Message.Head(id, status, contentType) }

    override fun append(bytes: ByteArray) = change { this.bytes.write(bytes) }

    /** Ends the request with [message], unless it has already ended. */
    fun finish(message: Message.RequestMessage) = change { if (terminal == null) terminal = message }

    private fun change(block: () -> Unit) {
        synchronized(lock) { block() }
        signal.trySend(Unit)
    }

    /** Sends the answer from [offset] on over [connection], which replaces any previous connection. */
    fun attach(
        connection: Connection,
        offset: Long,
    ) {
        sender?.cancel()
        this.connection = connection
        acknowledged = maxOf(acknowledged, offset)
        val wake = Channel<Unit>(Channel.CONFLATED).also { it.trySend(Unit) }
        signal = wake
        sender = scope.launch { send(connection, offset, wake) }
    }

    /** Records that the entry host has forwarded the answer up to [offset]. */
    fun acknowledge(offset: Long) {
        acknowledged = maxOf(acknowledged, offset)
        signal.trySend(Unit)
    }

    /** Records that no entry host needs the answer any more. */
    fun abandon() {
        sentOrAbandoned.complete(Unit)
    }

    /** Suspends until the end of the answer has been sent or the answer has been abandoned. */
    suspend fun awaitSent() = sentOrAbandoned.await()

    /** Stops sending over [closed], which has ended; returns whether the answer was sent over it. */
    fun detach(closed: Connection): Boolean {
        if (connection !== closed) return false
        sender?.cancel()
        connection = null
        return true
    }

    private suspend fun send(
        connection: Connection,
        offset: Long,
        wake: Channel<Unit>,
    ) {
        var position = offset
        var headSent = false
        for (unit in wake) {
            if (position - acknowledged >= WINDOW_BYTES) continue
            val part = next(position, headSent)
            part.head?.let { if (!connection.send(it)) return }
            headSent = headSent || part.head != null
            if (part.bytes.isNotEmpty()) {
                if (!connection.send(Message.Chunk(id, position, part.bytes))) return
                position += part.bytes.size
                wake.trySend(Unit)
            } else if (part.terminal != null) {
                if (connection.send(part.terminal)) sentOrAbandoned.complete(Unit)
                return
            }
        }
    }

    private class Part(
        val head: Message.Head?,
        val bytes: ByteArray,
        val terminal: Message.RequestMessage?,
    )

    private fun next(
        position: Long,
        headSent: Boolean,
    ): Part =
        synchronized(lock) {
            Part(
                head = head.takeUnless { headSent },
                bytes = bytes.slice(position.toInt(), MAXIMUM_CHUNK_BYTES),
                terminal = terminal,
            )
        }

    /** Copies a part of the content instead of all of it. */
    private class ExposedStream : ByteArrayOutputStream(INITIAL_BYTES) {
        fun slice(
            from: Int,
            maximum: Int,
        ): ByteArray = if (from >= count) EMPTY else buf.copyOfRange(from, minOf(count, from + maximum))
    }

    private companion object {
        const val MAXIMUM_CHUNK_BYTES = 64 * 1024

        /** Maximum number of bytes sent but not yet acknowledged by the entry host; the last chunk may exceed it. */
        const val WINDOW_BYTES = 256 * 1024
        const val INITIAL_BYTES = 512
        val EMPTY = ByteArray(0)
    }
}
