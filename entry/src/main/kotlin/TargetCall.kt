package org.almondjunction.entry

import kotlinx.coroutines.channels.Channel
import org.almondjunction.common.RefusalReason
import org.almondjunction.common.RequestId
import org.almondjunction.common.UnknownReason
import org.almondjunction.protocol.Message

/** Event that a target reports for one request. */
internal sealed class CallEvent {
    data class Head(
        val status: Int,
        val contentType: String?,
    ) : CallEvent()

    class Bytes(
        val bytes: ByteArray,
    ) : CallEvent()

    data object Completed : CallEvent()

    /** The request has started, so it cannot be withdrawn. */
    data object Running : CallEvent()

    data class Refused(
        val reason: RefusalReason,
    ) : CallEvent()

    data class Failed(
        val reason: UnknownReason,
    ) : CallEvent()

    /** The process run that held the request has ended, or cannot be reached. */
    data object Lost : CallEvent()
}

/** One request at one target. Delivers the parts of its answer in order and drops duplicates. */
internal class TargetCall(
    val id: RequestId,
    val incarnation: String,
) {
    /** Received events in order. The channel stays bounded because the agent limits the bytes that it sends without acknowledgement. */
    val events = Channel<CallEvent>(Channel.UNLIMITED)

    /** Offset of the next byte of the answer. */
    @Volatile
    var offset = 0L
        private set

    private var headSeen = false

    fun onMessage(message: Message.RequestMessage) {
        when (message) {
            is Message.Head -> if (!headSeen) deliver(CallEvent.Head(message.status, message.contentType)).also { headSeen = true }
            is Message.Chunk -> onChunk(message)
            is Message.End ->
                deliver(
                    if (message.length ==
                        offset
                    ) {
                        CallEvent.Completed
                    } else {
                        CallEvent.Failed(UnknownReason.ANSWER_INCOMPLETE)
                    },
                )
            is Message.Refused -> deliver(CallEvent.Refused(message.reason))
            is Message.Failed -> deliver(CallEvent.Failed(message.reason))
            is Message.Running -> deliver(CallEvent.Running)
            is Message.Start, is Message.Resume, is Message.Withdraw, is Message.Cancel, is Message.Acknowledge -> Unit
        }
    }

    private fun onChunk(chunk: Message.Chunk) {
        val knownBytes = (offset - chunk.offset).toInt()
        if (knownBytes < 0 || knownBytes >= chunk.bytes.size) return
        offset += chunk.bytes.size - knownBytes
        deliver(CallEvent.Bytes(if (knownBytes == 0) chunk.bytes else chunk.bytes.copyOfRange(knownBytes, chunk.bytes.size)))
    }

    fun reportLost() = deliver(CallEvent.Lost)

    private fun deliver(event: CallEvent) {
        events.trySend(event)
    }
}
