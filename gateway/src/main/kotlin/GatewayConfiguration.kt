package org.almondjunction.gateway

import org.almondjunction.common.ModelId
import org.almondjunction.common.ServiceId
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.RetrySafety

/**
 * Accepted configuration of the gateways: a complete state, identified by [version].
 *
 * @property apiKeys keys that callers of routes which are not public must present; null if no route needs a key
 */
public data class GatewayConfiguration(
    val version: Long,
    val routes: List<Route>,
    val services: Map<ServiceId, ServiceConfiguration>,
    val limits: CallerLimits = CallerLimits(),
    val apiKeys: ApiKeys? = null,
) {
    /** For each service, the longest time that callers of any of its routes wait for the first part of a response. */
    private val longestWaitsMs by lazy {
        routes
            .flatMap { route -> route.destinations.map { it.service to minOf(route.timeoutMs, route.callerIdleTimeoutMs) } }
            .groupBy({ it.first }, { it.second })
            .mapValues { (_, waitsMs) -> waitsMs.max() }
    }

    /** Whether no caller of [service] waits until [model] is loaded from the weight store, so that such loads serve only later callers. */
    public fun loadsTooLateForCallers(
        service: ServiceId,
        model: ModelConfiguration,
    ): Boolean = longestWaitsMs[service]?.let { model.loadMs > it } ?: false

    private val routesByHost by lazy {
        routes.groupBy { it.host.lowercase() }.mapValues { (_, group) -> group.sortedByDescending { it.pathPrefix.length } }
    }

    /** Returns the route of [host] with the longest prefix of [path], or null if no route matches. */
    public fun route(
        host: String,
        path: String,
    ): Route? = routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}

/**
 * Handling of requests to one host with one path prefix.
 *
 * @property destinations services that share the requests, by weight
 * @property timeoutMs time limit for the complete response
 * @property latencyObjectiveMs time within which the response, or its first event, should arrive
 * @property priority rank, 0 is the highest
 * @property maximumTargets largest number of targets that may run one request
 * @property streaming whether the response is a stream of events
 * @property pauseObjectiveMs longest pause between events that still meets the objective
 * @property callerIdleTimeoutMs time after which callers disconnect if they have received nothing
 * @property public whether its callers need no API key
 */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val retryKind: RetrySafety,
    val streaming: Boolean,
    val destinations: List<Destination>,
    val timeoutMs: Long,
    val latencyObjectiveMs: Long,
    val priority: Int,
    val maximumTargets: Int,
    val pauseObjectiveMs: Long = 0,
    val callerIdleTimeoutMs: Long = Long.MAX_VALUE / 2,
    val public: Boolean = false,
) {
    /** Returns the service that handles the request [requestId]. */
    public fun serviceFor(requestId: String): ServiceId {
        val total = destinations.sumOf { it.weight }
        if (destinations.size == 1 || total <= 0) return destinations.first().service
        var position = Rendezvous.score("split", requestId) * total
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
 * Configuration of a service.
 *
 * @property engine capacity of its engines; null for a plain service
 */
public data class ServiceConfiguration(
    val service: ServiceId,
    val maximumConnections: Int,
    val engine: EngineConfiguration? = null,
)

/**
 * Capacity of each engine of a service.
 *
 * @property batch number of requests that it processes at once
 * @property promptCacheTokens capacity of its prompt cache, in tokens
 */
public data class EngineConfiguration(
    val batch: Int,
    val promptCacheTokens: Long,
    val weightsMb: Long,
    val adapterSlots: Int,
    val models: Map<ModelId, ModelConfiguration>,
)

/**
 * Size and load times of a model.
 *
 * @property loadMs load time from the weight store
 * @property loadFromMemoryMs load time from a copy in the memory of the engine's host
 * @property loadFromDiskMs load time from a copy on the disk of the engine's host
 */
public data class ModelConfiguration(
    val model: ModelId,
    val weightsMb: Long,
    val adapterMb: Long,
    val loadMs: Long,
    val loadFromMemoryMs: Long,
    val loadFromDiskMs: Long,
)

/** Limits on the size of requests and on the time that callers may take to send them. */
public data class CallerLimits(
    val maximumHeadBytes: Int = 16_384,
    val maximumBodyBytes: Long = 4L * 1024 * 1024,
    val headTimeoutMs: Long = 3_000,
    val idleTimeoutMs: Long = 15_000,
)
