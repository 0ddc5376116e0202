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
     * First message in both directions.
     *
     * @property process identity of the sender: a target or a host
     * @property incarnation differs for every start of the process
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

    /** The sender is stopping gracefully: it finishes what it has and takes nothing new. */
    @Serializable
    @SerialName("leaving")
    public data object Leaving : Message()

    /** Asks for a sign of life. [sentMs] is by the sender's clock. */
    @Serializable
    @SerialName("ping")
    public data class Ping(
        val sentMs: Long,
    ) : Message()

    /** Answers a [Ping]. */
    @Serializable
    @SerialName("pong")
    public data class Pong(
        val sentMs: Long,
    ) : Message()

    /** A message about one request. */
    @Serializable
    public sealed class AboutRequest : Message() {
        /** Identity of the request. */
        public abstract val id: RequestId
    }

    /** Hands a request to the agent beside its target. [sentMs] is by the sender's clock. */
    @Serializable
    @SerialName("start")
    public data class Start(
        override val id: RequestId,
        val work: Work,
        val timeLeftMs: Long,
        val priority: Int,
        val sentMs: Long,
    ) : AboutRequest()

    /** Asks for the rest of an answer from [offset] on, on this connection. */
    @Serializable
    @SerialName("resume")
    public data class Resume(
        override val id: RequestId,
        val offset: Long,
    ) : AboutRequest()

    /** The entry host has passed the answer on up to [offset]; the agent sends a limited number of bytes beyond it. */
    @Serializable
    @SerialName("acknowledge")
    public data class Acknowledge(
        override val id: RequestId,
        val offset: Long,
    ) : AboutRequest()

    /** Asks the agent to give the request up if it has not begun; answered by [Refused] or [Running]. */
    @Serializable
    @SerialName("withdraw")
    public data class Withdraw(
        override val id: RequestId,
    ) : AboutRequest()

    /** The caller is gone: the request should end. */
    @Serializable
    @SerialName("cancel")
    public data class Cancel(
        override val id: RequestId,
    ) : AboutRequest()

    /** The request has begun and cannot be withdrawn any more. */
    @Serializable
    @SerialName("running")
    public data class Running(
        override val id: RequestId,
    ) : AboutRequest()

    /** Status line and content type of the answer. */
    @Serializable
    @SerialName("head")
    public data class Head(
        override val id: RequestId,
        val status: Int,
        val contentType: String?,
    ) : AboutRequest()

    /** Part of the answer that begins at [offset]. */
    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @SerialName("chunk")
    public class Chunk(
        override val id: RequestId,
        public val offset: Long,
        @ByteString public val bytes: ByteArray,
    ) : AboutRequest()

    /** The answer is complete and has [length] bytes. */
    @Serializable
    @SerialName("end")
    public data class End(
        override val id: RequestId,
        val length: Long,
    ) : AboutRequest()

    /** The request did not run at this target and never will. */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        override val id: RequestId,
        val reason: RefusalReason,
        val expectedWaitMs: Long = 0,
    ) : AboutRequest()

    /** The request began and cannot be completed. */
    @Serializable
    @SerialName("failed")
    public data class Failed(
        override val id: RequestId,
        val reason: UnknownReason,
    ) : AboutRequest()

    /** An agent asks for the part of the accepted state that concerns its target, now and after each change. */
    @Serializable
    @SerialName("subscribe-target")
    public data class SubscribeTarget(
        val target: TargetId,
        val host: HostId,
        val needConfirmed: Boolean,
    ) : Message()

    /** The part of the accepted state that concerns one target. */
    @Serializable
    @SerialName("target-state")
    public data class TargetStateUpdate(
        val revision: Long,
        val sequence: Long,
        val offers: List<ModelOffer>,
        val rights: List<Right>,
        val confirmed: Boolean,
    ) : Message()

    /** The accepted state moved on without a change for this target. */
    @Serializable
    @SerialName("sequence")
    public data class SequenceUpdate(
        val sequence: Long,
    ) : Message()

    /** An agent tells what it holds. */
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

    /** An agent gives rights back: nothing is loaded under them and nothing will be. */
    @Serializable
    @SerialName("give-back")
    public data class GiveBack(
        val target: TargetId,
        val rights: List<RightKey>,
    ) : Message()

    /** An entry host asks another one for everything it knows, now and after each change. */
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

    /** A controller asks when an entry host last heard from the agents on [hosts]. */
    @Serializable
    @SerialName("last-heard-query")
    public data class LastHeardQuery(
        val hosts: List<HostId>,
    ) : Message()

    /** Answers a [LastHeardQuery] with ages in milliseconds; a host that is not named was never heard by this process. */
    @Serializable
    @SerialName("last-heard-reply")
    public data class LastHeardReply(
        val process: String,
        val upMs: Long,
        val agesMs: Map<HostId, Long>,
    ) : Message()

    /** Asks an entry host for what it knows of itself and of the agents that subscribed to it. */
    @Serializable
    @SerialName("status-query")
    public data object StatusQuery : Message()

    /** Answers a [StatusQuery]. */
    @Serializable
    @SerialName("status-reply")
    public data class StatusReply(
        val host: HostId,
        val sequence: Long,
        val agents: List<AgentStatus>,
        val crossRegionBytes: Long,
    ) : Message()

    public companion object {
        /** Version of the protocol; processes of other versions are refused. */
        public const val PROTOCOL_VERSION: Int = 1
    }
}

/** What a target is asked to do. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public sealed class Work {
    /** Generate with a model. [body] is the caller's JSON. */
    @Serializable
    @SerialName("completion")
    public class Completion(
        public val path: String,
        public val model: ModelId,
        public val adapter: AdapterId?,
        @ByteString public val body: ByteArray,
    ) : Work()

    /** Call a plain service. */
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
