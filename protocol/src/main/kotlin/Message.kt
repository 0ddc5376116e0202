package org.almondjunction.protocol

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.almondjunction.common.AdapterId
import org.almondjunction.common.HostId
import org.almondjunction.common.ModelId
import org.almondjunction.common.RefusalReason
import org.almondjunction.common.RequestId
import org.almondjunction.common.TargetId
import org.almondjunction.common.UnknownReason
import org.almondjunction.decisions.ModelOffer
import org.almondjunction.decisions.ResidentKey
import org.almondjunction.decisions.Right
import org.almondjunction.decisions.RightKey
import org.almondjunction.decisions.StateChange

/** A message between two processes of the system. */
@Serializable
public sealed class Message {
    /**
     * First message that each side of a connection sends.
     *
     * @property process identifier of the sender: a target or a host
     * @property incarnation identifier of the process run; it differs after each start
     * @property leaving whether the sender is stopping gracefully, see [Leaving]
     */
    @Serializable
    @SerialName("hello")
    public data class Hello(
        val process: String,
        val incarnation: String,
        val protocolVersion: Int = PROTOCOL_VERSION,
        val leaving: Boolean = false,
    ) : Message()

    /** The sender is stopping gracefully: it completes its current requests and accepts no new ones. */
    @Serializable
    @SerialName("leaving")
    public data object Leaving : Message()

    /** Checks that the peer responds. [sentMs] is the sender's clock time, in milliseconds. */
    @Serializable
    @SerialName("ping")
    public data class Ping(
        val sentMs: Long,
    ) : Message()

    /** Reply to a [Ping], with its [sentMs]. */
    @Serializable
    @SerialName("pong")
    public data class Pong(
        val sentMs: Long,
    ) : Message()

    /** A message about one request. */
    @Serializable
    public sealed class RequestMessage : Message() {
        /** Identifier of the request. */
        public abstract val id: RequestId
    }

    /**
     * Sends a request to the agent of its target.
     *
     * @property timeLeftMs time until the deadline of the request
     * @property sentMs the sender's clock time, in milliseconds
     */
    @Serializable
    @SerialName("start")
    public data class Start(
        override val id: RequestId,
        val work: Work,
        val timeLeftMs: Long,
        val priority: Int,
        val sentMs: Long,
    ) : RequestMessage()

    /** Requests the rest of an answer, from byte [offset] on, over this connection. */
    @Serializable
    @SerialName("resume")
    public data class Resume(
        override val id: RequestId,
        val offset: Long,
    ) : RequestMessage()

    /** The entry host has forwarded the answer up to [offset]; the agent sends a limited number of bytes beyond it. */
    @Serializable
    @SerialName("acknowledge")
    public data class Acknowledge(
        override val id: RequestId,
        val offset: Long,
    ) : RequestMessage()

    /** Asks the agent to drop the request if it has not started; the reply is [Refused] or [Running]. */
    @Serializable
    @SerialName("withdraw")
    public data class Withdraw(
        override val id: RequestId,
    ) : RequestMessage()

    /** The caller has disconnected; the request should be cancelled. */
    @Serializable
    @SerialName("cancel")
    public data class Cancel(
        override val id: RequestId,
    ) : RequestMessage()

    /** The request has started and can no longer be withdrawn. */
    @Serializable
    @SerialName("running")
    public data class Running(
        override val id: RequestId,
    ) : RequestMessage()

    /** Status code and content type of the answer. */
    @Serializable
    @SerialName("head")
    public data class Head(
        override val id: RequestId,
        val status: Int,
        val contentType: String?,
    ) : RequestMessage()

    /** Part of the answer, starting at byte [offset]. */
    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @SerialName("chunk")
    public class Chunk(
        override val id: RequestId,
        public val offset: Long,
        @ByteString public val bytes: ByteArray,
    ) : RequestMessage()

    /** The answer is complete and has [length] bytes. */
    @Serializable
    @SerialName("end")
    public data class End(
        override val id: RequestId,
        val length: Long,
    ) : RequestMessage()

    /** The request did not run at this target and never will. */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        override val id: RequestId,
        val reason: RefusalReason,
        val expectedWaitMs: Long = 0,
    ) : RequestMessage()

    /** The request may have run and cannot be completed. */
    @Serializable
    @SerialName("failed")
    public data class Failed(
        override val id: RequestId,
        val reason: UnknownReason,
    ) : RequestMessage()

    /**
     * An agent subscribes to the part of the accepted state that concerns its target; it is sent now and after each change.
     *
     * @property needConfirmed whether the agent also requests a confirmed state, see [TargetStateUpdate]
     */
    @Serializable
    @SerialName("subscribe-target")
    public data class SubscribeTarget(
        val target: TargetId,
        val host: HostId,
        val needConfirmed: Boolean,
    ) : Message()

    /**
     * The part of the accepted state that concerns one target.
     *
     * @property offers offers of the models in [rights]
     * @property confirmed whether the sender has read the object store since the agent requested a confirmed state
     */
    @Serializable
    @SerialName("target-state")
    public data class TargetStateUpdate(
        val revision: Long,
        val sequence: Long,
        val offers: List<ModelOffer>,
        val rights: List<Right>,
        val confirmed: Boolean,
    ) : Message()

    /** The accepted state has a new sequence without a change for this target. */
    @Serializable
    @SerialName("sequence")
    public data class SequenceUpdate(
        val sequence: Long,
    ) : Message()

    /**
     * An agent reports the memory, requests and residents of its target.
     *
     * @property sequence sequence of the accepted state that the agent has applied
     * @property draining whether the agent is stopping gracefully
     * @property reservedMb memory that is or may be occupied, in megabytes
     * @property waiting number of queued requests
     * @property running number of running requests
     */
    @Serializable
    @SerialName("agent-status")
    public data class AgentStatus(
        val target: TargetId,
        val sequence: Long,
        val draining: Boolean,
        val memoryMb: Long,
        val reservedMb: Long,
        val waiting: Int,
        val running: Int,
        val residents: List<ResidentKey>,
    ) : Message()

    /** An agent releases rights: nothing is loaded under them, and nothing will be. */
    @Serializable
    @SerialName("give-back")
    public data class ReleaseRights(
        val target: TargetId,
        val rights: List<RightKey>,
    ) : Message()

    /** An entry host subscribes to the whole state of another one; it is sent now and after each change. */
    @Serializable
    @SerialName("subscribe-all")
    public data class SubscribeAll(
        val revision: Long,
    ) : Message()

    /** A change of the accepted state, relayed from one entry host to another. */
    @Serializable
    @SerialName("relayed-change")
    public data class RelayedChange(
        val change: StateChange,
    ) : Message()

    /** A controller asks how long ago an entry host last had contact with the agents on [hosts]. */
    @Serializable
    @SerialName("last-heard-query")
    public data class LastContactQuery(
        val hosts: List<HostId>,
    ) : Message()

    /**
     * Reply to a [LastContactQuery].
     *
     * @property process the replying entry host
     * @property upMs time since the start of the replying process
     * @property agesMs time since the last message from an agent on each host; a host without a message since the start is missing
     */
    @Serializable
    @SerialName("last-heard-reply")
    public data class LastContactReply(
        val process: String,
        val upMs: Long,
        val agesMs: Map<HostId, Long>,
    ) : Message()

    /** Asks an entry host for its own status and that of the agents subscribed to it. */
    @Serializable
    @SerialName("status-query")
    public data object StatusQuery : Message()

    /**
     * Reply to a [StatusQuery].
     *
     * @property sequence sequence of the accepted state at this entry host
     * @property crossRegionBytes bytes exchanged with targets of other regions since the start of the process
     */
    @Serializable
    @SerialName("status-reply")
    public data class StatusReply(
        val host: HostId,
        val sequence: Long,
        val agents: List<AgentStatus>,
        val crossRegionBytes: Long,
    ) : Message()

    public companion object {
        /** Version of the protocol; connections from processes with other versions are refused. */
        public const val PROTOCOL_VERSION: Int = 1
    }
}

/** Work that a request asks of a target. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public sealed class Work {
    /** A completion by a model. [body] is the caller's JSON. */
    @Serializable
    @SerialName("completion")
    public class Completion(
        public val path: String,
        public val model: ModelId,
        public val adapter: AdapterId?,
        @ByteString public val body: ByteArray,
    ) : Work()

    /** A call of a plain service. */
    @Serializable
    @SerialName("plain-call")
    public class PlainCall(
        public val method: String,
        public val path: String,
        public val contentType: String?,
        public val idempotencyKey: String?,
        @ByteString public val body: ByteArray,
    ) : Work()
}
