package org.almondjunction.keeper

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.almondjunction.decisions.QuotaGrant
import org.almondjunction.decisions.QuotaWant

/** Messages between a gateway and the keeper of an engine. */
@Serializable
public sealed class KeeperMessage {
    /** First message of a gateway on a connection. */
    @Serializable
    @SerialName("g")
    public data class Greeting(
        val gateway: String,
    ) : KeeperMessage()

    /**
     * Recent requests of a gateway to the engine.
     *
     * @property uses one entry for each model or adapter that was used since the last message or has requests in flight
     * @property demand demand of the gateway's callers for the models that the engine holds
     * @property brokenOff requests that the engine broke off
     * @property answered prompt parts of complete answers that the gateway's copy of the engine's crashes contained
     * @property crashes the gateway's copy of the engine's crashes; only sent after a connection was opened
     * @property sentStreams streams that the gateway has sent to targets, for the keepers to remember
     * @property resumedStreams requests whose streams callers take up; the keeper answers what it remembers of each with an [EngineLoad]
     */
    @Serializable
    @SerialName("u")
    public data class Usage(
        val uses: List<Use>,
        val demand: List<Demand> = emptyList(),
        val brokenOff: List<BrokenOff> = emptyList(),
        val answered: List<AnsweredPart> = emptyList(),
        val crashes: List<EngineCrash> = emptyList(),
        val sentStreams: List<SentStream> = emptyList(),
        val resumedStreams: List<String> = emptyList(),
    ) : KeeperMessage()

    /**
     * Request of a gateway to load a model or an adapter.
     *
     * @property callers callers that wait for it at the gateway, weighted as defined by `LoadValue`
     * @property requestsPerSecond recent demand for the model at the gateway
     * @property copiesElsewhere models with a replica on another engine; one entry for each replica
     * @property surplus models whose replicas on other engines can serve all of their callers
     */
    @Serializable
    @SerialName("w")
    public data class LoadRequest(
        val target: String,
        val model: String,
        val adapter: String? = null,
        @SerialName("patienceMs") val timeoutMs: Long,
        val mayEvict: Boolean,
        val memoryMb: Long,
        val adapterSlots: Int,
        val sizes: List<ModelSize>,
        val copiesElsewhere: List<String> = emptyList(),
        val surplus: List<String> = emptyList(),
        val callers: Float = 1f,
        val requestsPerSecond: Float = 0f,
    ) : KeeperMessage()

    /**
     * State of the engine and of its pending loads.
     *
     * @property draining models that are being unloaded and take no new requests
     * @property loading model that is being loaded
     * @property pendingLoads models that are queued to be loaded after it
     * @property onDisk copies on the disk of the host; while the engine does not answer, those that it last reported
     * @property engineReachable whether the engine answers its keeper
     * @property gateways names of all gateways that are connected; null when unchanged since the last status
     * @property crashes crashes of the engine under requests; null when unchanged since the last status
     * @property settledReports of the requests broken off by the engine that the gateway reported on this connection, the number for which
     *   the keeper knows whether the engine has ended
     */
    @Serializable
    @SerialName("s")
    public data class Status(
        val models: List<HeldModel>,
        @SerialName("leaving") val draining: List<String> = emptyList(),
        val loading: String? = null,
        @SerialName("wished") val pendingLoads: List<String> = emptyList(),
        val inMemory: List<String> = emptyList(),
        val onDisk: List<String> = emptyList(),
        val gateways: List<String>? = null,
        val load: EngineLoad = EngineLoad(),
        val busy: Boolean = false,
        @SerialName("answering") val engineReachable: Boolean = true,
        val crashes: List<EngineCrash>? = null,
        @SerialName("settled") val settledReports: Int = 0,
    ) : KeeperMessage()

    /**
     * Request of a gateway for units of quotas; sent only while a tenant with a quota is in force.
     *
     * @property number number of the request, named in the answer
     */
    @Serializable
    @SerialName("q")
    public data class QuotaRequest(
        val shard: Int,
        val number: Long,
        val wants: List<QuotaWant> = emptyList(),
    ) : KeeperMessage()

    /**
     * Answer to a [QuotaRequest].
     *
     * @property lease identity of the lease under which the units are granted; null if this keeper is not the coordinator
     * @property coordinator host that is the coordinator, as far as this keeper knows; null if it is this one or unknown
     */
    @Serializable
    @SerialName("a")
    public data class QuotaReply(
        val shard: Int,
        val number: Long,
        val lease: Long? = null,
        val coordinator: String? = null,
        val grants: List<QuotaGrant> = emptyList(),
    ) : KeeperMessage()

    /**
     * Current load of the engine.
     *
     * @property resumedStreams answers to [Usage.resumedStreams]
     */
    @Serializable
    @SerialName("l")
    public data class EngineLoad(
        val queued: Int = 0,
        val active: Int = 0,
        val kvUsed: Long = 0,
        val resumedStreams: List<SentStream> = emptyList(),
    ) : KeeperMessage()
}

/**
 * A stream that was sent to a target of any engine.
 *
 * @property version version of the target's software; null if it tells none
 * @property known false in an answer if the keeper does not remember the request
 */
@Serializable
public data class SentStream(
    @SerialName("r") val request: String,
    @SerialName("v") val version: String? = null,
    @SerialName("k") val known: Boolean = true,
)

/** Uses of [model], or of [adapter] on it. */
@Serializable
public data class Use(
    @SerialName("m") val model: String,
    @SerialName("a") val adapter: String? = null,
    @SerialName("c") val count: Int,
    @SerialName("f") val inFlight: Int,
)

/**
 * Demand for [model] at one gateway.
 *
 * @property requestsPerSecond share of the demand that falls on one engine
 * @property answerMs usual duration of its requests at their engine
 */
@Serializable
public data class Demand(
    @SerialName("m") val model: String,
    @SerialName("r") val requestsPerSecond: Float,
    @SerialName("t") val answerMs: Int = 0,
)

/**
 * A part of a prompt.
 *
 * @property part hash of its identity
 * @property position its place in the prompt; 0 is the first
 * @property last whether it was the last part of a prompt
 */
@Serializable
public data class PromptPart(
    @SerialName("p") val part: Long,
    @SerialName("i") val position: Int,
    @SerialName("l") val last: Boolean = false,
)

/**
 * A request that an engine broke off.
 *
 * @property startedMs calendar time of the engine's start, in milliseconds
 * @property parts parts of its prompt that may have ended the engine
 */
@Serializable
public data class BrokenOff(
    @SerialName("b") val startedMs: Long,
    @SerialName("p") val parts: List<PromptPart>,
)

/** A prompt part that was in a complete answer [ageMs] ago. */
@Serializable
public data class AnsweredPart(
    @SerialName("p") val part: Long,
    @SerialName("a") val ageMs: Long,
)

/**
 * The end of an engine under requests.
 *
 * @property startedMs calendar time of the start of the incarnation that ended, in milliseconds
 * @property ageMs time since its end
 * @property parts prompt parts of the requests that it broke off, without those that complete answers contained
 */
@Serializable
public data class EngineCrash(
    @SerialName("b") val startedMs: Long,
    @SerialName("a") val ageMs: Long,
    @SerialName("p") val parts: List<PromptPart>,
)

/** Memory that a model and each of its adapters occupy. */
@Serializable
public data class ModelSize(
    @SerialName("m") val model: String,
    @SerialName("w") val weightsMb: Long,
    @SerialName("a") val adapterMb: Long,
)

/**
 * A model on the engine.
 *
 * @property requestsPerSecond recent demand at this engine, of all gateways together
 * @property idleMs time since its last request
 */
@Serializable
public data class HeldModel(
    @SerialName("m") val model: String,
    @SerialName("a") val adapters: List<String>,
    @SerialName("r") val requestsPerSecond: Float = 0f,
    @SerialName("i") val idleMs: Long = 0,
    @SerialName("f") val inFlight: Int = 0,
)
