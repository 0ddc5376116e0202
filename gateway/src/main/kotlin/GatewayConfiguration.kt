package org.almondjunction.gateway

import org.almondjunction.common.ModelId
import org.almondjunction.common.ServiceId
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.RetrySafety

/** The accepted configuration of the gateways; one whole state under one [version]. */
public data class GatewayConfiguration(
    val version: Long,
    val routes: List<Route>,
    val services: Map<ServiceId, ServicePlan>,
    val limits: CallerLimits = CallerLimits(),
) {
    private val routesByHost by lazy {
        routes.groupBy { it.host.lowercase() }.mapValues { (_, group) -> group.sortedByDescending { it.pathPrefix.length } }
    }

    /** Returns the route of [host] whose prefix is the longest that begins [path]; null when there is none. */
    public fun route(
        host: String,
        path: String,
    ): Route? = routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}

/**
 * How requests of one host below one prefix are handled.
 *
 * @property destinations services that share the requests, by weight
 * @property timeoutMs longest time that a caller is kept waiting
 * @property latencyObjectiveMs time within which an answer, or its first event, is worth most
 * @property priority rank, 0 is the highest
 * @property maximumTargets targets that may run one request
 * @property streaming whether the answer is a series of events
 * @property pauseObjectiveMs longest pause between events that is still on time
 * @property callerPatienceMs time after which callers leave if nothing has reached them
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val repeat: RetrySafety,
    val streaming: Boolean,
    val destinations: List<Destination>,
    val timeoutMs: Long,
    val latencyObjectiveMs: Long,
    val priority: Int,
    val maximumTargets: Int,
    val pauseObjectiveMs: Long = 0,
    val callerPatienceMs: Long = Long.MAX_VALUE / 2,
) {
    /** Returns the service that takes the request called [requestId]. */
    public fun serviceFor(requestId: String): ServiceId {
        val total = destinations.sumOf { it.weight }
        if (destinations.size == 1 || total <= 0) return destinations.first().service
        var position = Rendezvous.share("split", requestId) * total
        destinations.forEach { destination ->
            position -= destination.weight
            if (position < 0) return destination.service
        }
        return destinations.last { it.weight > 0 }.service
    }
}

/** A service and its share of a route's requests. */
public data class Destination(
    val service: ServiceId,
    val weight: Double,
)

/**
 * What the operator says of a service.
 *
 * @property engine what its engines can do; null for a plain service
 */
public data class ServicePlan(
    val service: ServiceId,
    val maximumConnections: Int,
    val engine: EnginePlan? = null,
)

/**
 * What an engine of a service can hold and do.
 *
 * @property batch requests that it works on at once
 * @property promptMemoryTokens tokens that its memory for prompts holds
 */
public data class EnginePlan(
    val batch: Int,
    val promptMemoryTokens: Long,
    val weightsMb: Long,
    val adapterSlots: Int,
    val models: Map<ModelId, ModelPlan>,
)

/**
 * Size of a model and how long it takes to load.
 *
 * @property loadMs from the weight store
 * @property loadFromMemoryMs from a copy in the memory of the engine's host
 * @property loadFromDiskMs from a copy on the disk of the engine's host
 */
public data class ModelPlan(
    val model: ModelId,
    val weightsMb: Long,
    val adapterMb: Long,
    val loadMs: Long,
    val loadFromMemoryMs: Long,
    val loadFromDiskMs: Long,
)

/** What callers may send, and how long they may take. */
public data class CallerLimits(
    val maximumHeadBytes: Int = 16_384,
    val maximumBodyBytes: Long = 4L * 1024 * 1024,
    val headTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000,
)
