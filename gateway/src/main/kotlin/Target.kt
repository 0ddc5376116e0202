package org.almondjunction.gateway

import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.decisions.ConnectionAction
import org.almondjunction.decisions.ConnectionHealth
import org.almondjunction.decisions.SoftwareVersion
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.keeper.Use
import org.almondjunction.network.EventLoop
import kotlin.math.exp

/** State of one target: its entry, its connections, its models and its recent failures. */
internal class Target(
    loop: EventLoop,
    entry: TargetEntry,
    promptCacheTokens: Long,
    maximumCachedParts: () -> Int = { Int.MAX_VALUE },
) : AutoCloseable {
    private val clock: Clock = loop.clock

    var entry: TargetEntry = entry
        private set
    val pool = ConnectionPool(loop, entry.address)
    val promptCache = PromptCacheEstimate(promptCacheTokens, maximumCachedParts)
    val inFlight = mutableSetOf<InFlightRequest>()
    var closed = false
        private set

    /** Last status of its keeper; null while its keeper is not connected. */
    var status: KeeperMessage.Status? = null
        private set
    var load = KeeperMessage.EngineLoad()
        private set
    var keeper: KeeperLink? = null

    /** Whether neither it nor its keeper has shown activity within the time limit while requests are in flight. */
    var silent = false
        private set

    /** Time of the last activity of the target or its keeper. */
    var lastActivityMs = clock.nowMs()
        private set

    private var health: ConnectionHealth? = null
    private var lastInFlightMs = 0L
    private var loadingSinceMs = 0L
    private var unreachableSinceMs = 0L
    private var recentFailures = 0.0
    private var recentRequests = 0.0
    private var decayedMs = clock.nowMs()
    private val uses = mutableMapOf<Pair<String, String?>, Int>()
    private val lastLoadRequestMs = mutableMapOf<Pair<String, String?>, Long>()

    /** Whether its keeper gets answers from it; true if no keeper is connected. */
    val answering: Boolean get() = status?.engineReachable ?: true

    /** Whether it can begin another request at once, by the requests of this gateway and the last report of its load. */
    val free: Boolean get() = !silent && maxOf(inFlight.size, load.active + load.queued) < entry.slots

    /** Version of its software, as listed. */
    val softwareVersion: SoftwareVersion get() = SoftwareVersion(entry.softwareVersion)

    /** Models that accept requests now, with the loaded adapters. */
    var models: Map<String, Set<String>> = entry.models
        private set

    fun update(newEntry: TargetEntry) {
        entry = newEntry
        models = usableModels()
    }

    private fun usableModels(): Map<String, Set<String>> {
        val current = status ?: return entry.models
        return current.models.filter { it.model !in current.draining }.associate { it.model to it.adapters.toSet() }
    }

    /** Time for which its keeper has got no answer from it; meaningful only unless [answering]. */
    val unreachableForMs: Long get() = clock.nowMs() - unreachableSinceMs

    /** Duration so far of the load that its keeper reports. */
    val loadingForMs: Long get() = clock.nowMs() - loadingSinceMs

    /** Whether its host has a copy of the weights of [model] in memory or on disk. */
    fun hasLocalCopy(model: String): Boolean = status?.let { model in it.inMemory || model in it.onDisk } ?: false

    /** Whether it is loading a model from the weight store, according to its keeper. */
    val loadsFromStore: Boolean get() = status?.loading?.let { !hasLocalCopy(it) } ?: false

    fun update(newStatus: KeeperMessage.Status?) {
        val before = status?.models.orEmpty().map { it.model }
        if (newStatus?.loading != status?.loading) loadingSinceMs = clock.nowMs()
        val wasAnswering = answering
        status = newStatus?.copy(gateways = newStatus.gateways ?: status?.gateways)
        models = usableModels()
        if (wasAnswering && !answering) {
            unreachableSinceMs = clock.nowMs()
            inFlight.toList().forEach { it.cancelIfRetryable() }
        }
        if (newStatus != null) {
            recordActivity()
            load = newStatus.load
            (before - newStatus.models.map { it.model }.toSet()).forEach { promptCache.remove(it) }
        }
    }

    fun update(newLoad: KeeperMessage.EngineLoad) {
        recordActivity()
        load = newLoad
    }

    /** Returns the number of prompt tokens of [request] that are not expected in its prompt cache. */
    fun uncachedTokens(request: ForwardedRequest): Long =
        (request.promptTokens - promptCache.cachedTokens(request.weights, request.parts)).coerceAtLeast(0)

    /** Records activity of the target or its keeper. */
    fun recordActivity() {
        lastActivityMs = clock.nowMs()
        health?.recordActivity(lastActivityMs)
        if (silent) EventLog.info("target active again", LogFields(target = entry.target))
        silent = false
    }

    /** Resets the silence measured so far, for example after this process was suspended. */
    fun resetSilence() {
        health?.recordActivity(clock.nowMs())
        silent = false
    }

    /**
     * Checks whether the target is silent, and cancels overdue requests that may be retried elsewhere.
     *
     * Must be called several times within the shortest silence limit. Returns whether [silent] has changed.
     */
    fun checkSilence(): Boolean {
        val nowMs = clock.nowMs()
        val before = silent
        if (inFlight.isNotEmpty()) lastInFlightMs = nowMs
        val action = health?.check(nowMs, working = inFlight.isNotEmpty())
        if (action == ConnectionAction.REPLACE) {
            silent = true
            inFlight.toList().forEach { it.cancelIfOverdue(nowMs) }
        } else if (nowMs - lastInFlightMs >= SILENCE_RETRY_MS) {
            silent = false
        }
        if (silent &&
            !before
        ) {
            EventLog.warn("target silent", LogFields(target = entry.target, extra = mapOf("inFlight" to "${inFlight.size}")))
        }
        return silent != before
    }

    fun begin(request: InFlightRequest) {
        val nowMs = clock.nowMs()
        request.startedMs = nowMs
        val limitMs = request.silenceLimitMs
        val currentHealth = health ?: ConnectionHealth(limitMs, limitMs, Long.MAX_VALUE, nowMs).also { health = it }
        currentHealth.check(nowMs, working = inFlight.isNotEmpty())
        inFlight += request
        currentHealth.check(nowMs, working = true)
        val model = request.model ?: return
        uses.merge(model to null, 1, Int::plus)
        request.adapter?.let { uses.merge(model to it, 1, Int::plus) }
    }

    fun end(request: InFlightRequest) {
        inFlight -= request
        val model = request.model ?: return
        uses.putIfAbsent(model to null, 0)
        request.adapter?.let { uses.putIfAbsent(model to it, 0) }
    }

    /** Returns the uses since the last call with the requests in flight, and clears the uses. */
    fun takeUses(): List<Use> {
        val inFlightUses = mutableMapOf<Pair<String, String?>, Int>()
        inFlight.forEach { request ->
            val model = request.model ?: return@forEach
            inFlightUses.merge(model to null, 1, Int::plus)
            request.adapter?.let { inFlightUses.merge(model to it, 1, Int::plus) }
        }
        val keys = uses.keys + inFlightUses.keys
        val taken = keys.map { key -> Use(key.first, key.second, uses[key] ?: 0, inFlightUses[key] ?: 0) }
        uses.clear()
        return taken
    }

    /** Returns whether a load request for [model] and [adapter] may be sent again now; if so, records it as sent. */
    fun mayRequestLoad(
        model: String,
        adapter: String?,
        intervalMs: Long,
    ): Boolean {
        val nowMs = clock.nowMs()
        val last = lastLoadRequestMs[model to adapter]
        if (last != null && nowMs - last < intervalMs) return false
        lastLoadRequestMs[model to adapter] = nowMs
        return true
    }

    /** Records the result of a request to this target. */
    fun recordResult(failed: Boolean) {
        decay()
        recentRequests += 1
        if (failed) recentFailures += 1
    }

    /** Returns the share of recent requests that failed; it decays to 0 without requests. */
    fun failureShare(): Double {
        decay()
        return recentFailures / (recentRequests + ASSUMED_SUCCESSES)
    }

    private fun decay() {
        val nowMs = clock.nowMs()
        val factor = exp(-(nowMs - decayedMs) / DECAY_MS)
        recentFailures *= factor
        recentRequests *= factor
        decayedMs = nowMs
    }

    override fun close() {
        closed = true
        pool.close()
        keeper?.close()
        inFlight.toList().forEach { it.cancelIfRetryable() }
    }

    private companion object {
        /** Time constant of the decay of request counts: the duration of the shortest disturbances that are worth avoiding. */
        const val DECAY_MS = 3_000.0

        /** A silent target without requests in flight is tried again after this; a connected keeper reports activity sooner. */
        const val SILENCE_RETRY_MS = 2_000L

        /** Number of successful requests assumed in advance for a target without history. */
        const val ASSUMED_SUCCESSES = 1.5
    }
}
