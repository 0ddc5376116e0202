package org.almondjunction.entry

import kotlinx.coroutines.channels.Channel
import org.almondjunction.common.RefusalReason
import org.almondjunction.common.RequestId
import org.almondjunction.common.UnknownReason
import org.almondjunction.protocol.Message

/** What arrives for one request from its target. */
internal sealed class CallEvent {
    data class Head(
        val status: Int,
        val contentType: String?,
    ) : CallEvent()

    class Bytes(
        val bytes: ByteArray,
    ) : CallEvent()

    data object Completed : CallEvent()

    /** The request has begun, so it could not be withdrawn. */
    data object Running : CallEvent()

    data class Refused(
        val reason: RefusalReason,
    ) : CallEvent()

    data class Failed(
        val reason: UnknownReason,
    ) : CallEvent()

    /** The process that had the request is gone. */
    data object Lost : CallEvent()
}

/** One request at one target. Puts the parts of its answer in order and drops what arrives twice. */
internal class TargetCall(
    val id: RequestId,
    val incarnation: String,
) {
    /** What arrived, in order. The agent sends a limited number of bytes beyond what was acknowledged. */
    val events = Channel<CallEvent>(Channel.UNLIMITED)

    /** Offset of the next byte of the answer. */
    @Volatile
    var offset = 0L
        private set

    private var headSeen = false

    fun take(message: Message.AboutRequest) {
        when (message) {
            is Message.Head -> if (!headSeen) deliver(CallEvent.Head(message.status, message.contentType)).also { headSeen = true }
            is Message.Chunk -> takeChunk(message)
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

    private fun takeChunk(chunk: Message.Chunk) {
        val known = (offset - chunk.offset).toInt()
        if (known < 0 || known >= chunk.bytes.size) return
        offset += chunk.bytes.size - known
        deliver(CallEvent.Bytes(if (known == 0) chunk.bytes else chunk.bytes.copyOfRange(known, chunk.bytes.size)))
    }

    fun lost() = deliver(CallEvent.Lost)

    private fun deliver(event: CallEvent) {
        events.trySend(event)
    }
}
