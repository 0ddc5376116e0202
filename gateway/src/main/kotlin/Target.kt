package org.almondjunction.gateway

import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.decisions.ConnectionAction
import org.almondjunction.decisions.ConnectionHealth
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.keeper.Use
import org.almondjunction.network.EventLoop
import kotlin.math.exp

/** State of one target: its entry, its connections, its models and its recent failures. */
internal class Target(
    loop: EventLoop,
    entry: TargetEntry,
    promptMemoryTokens: Long,
) : AutoCloseable {
    private val clock: Clock = loop.clock

    var entry: TargetEntry = entry
        private set
    val pool = TargetPool(loop, entry.address)
    val prompts = PromptMemory(promptMemoryTokens)
    val inFlight = mutableSetOf<Send>()
    var gone = false
        private set

    /** Last status of its keeper; null while its keeper is not connected. */
    var status: KeeperMessage.Status? = null
        private set
    var load = KeeperMessage.Load()
        private set
    var keeper: KeeperLink? = null

    /** Whether neither it nor its keeper has shown activity within the time limit while requests are in flight. */
    var silent = false
        private set

    /** Time of the last activity of the target or its keeper. */
    var heardMs = clock.nowMs()
        private set

    private var health: ConnectionHealth? = null
    private var lastWorkMs = 0L
    private var loadingSinceMs = 0L
    private var failures = 0.0
    private var sends = 0.0
    private var weighedMs = clock.nowMs()
    private val uses = mutableMapOf<Pair<String, String?>, Int>()
    private val lastAskedMs = mutableMapOf<Pair<String, String?>, Long>()

    /** Whether its keeper gets answers from it; true if no keeper is connected. */
    val answering: Boolean get() = status?.answering ?: true

    /** Models that accept requests now, with the loaded adapters. */
    var models: Map<String, Set<String>> = entry.models
        private set

    fun update(newEntry: TargetEntry) {
        entry = newEntry
        models = usableModels()
    }

    private fun usableModels(): Map<String, Set<String>> {
        val current = status ?: return entry.models
        return current.models.filter { it.model !in current.leaving }.associate { it.model to it.adapters.toSet() }
    }

    /** Duration so far of the load that its keeper reports. */
    val loadingForMs: Long get() = clock.nowMs() - loadingSinceMs

    /** Whether its host has a copy of the weights of [model] in memory or on disk. */
    fun hasAtHand(model: String): Boolean = status?.let { model in it.inMemory || model in it.onDisk } ?: false

    /** Whether it is loading a model from the weight store, according to its keeper. */
    val loadsFromStore: Boolean get() = status?.loading?.let { !hasAtHand(it) } ?: false

    fun update(newStatus: KeeperMessage.Status?) {
        val before = status?.models.orEmpty().map { it.model }
        if (newStatus?.loading != status?.loading) loadingSinceMs = clock.nowMs()
        val wasAnswering = answering
        status = newStatus?.copy(gateways = newStatus.gateways ?: status?.gateways)
        models = usableModels()
        if (wasAnswering && !answering) inFlight.toList().forEach { it.leaveIfRepeatable() }
        if (newStatus != null) {
            heard()
            load = newStatus.load
            (before - newStatus.models.map { it.model }.toSet()).forEach { prompts.forget(it) }
        }
    }

    fun update(newLoad: KeeperMessage.Load) {
        heard()
        load = newLoad
    }

    /** Returns the number of prompt tokens of [request] that are not expected in its prompt cache. */
    fun unreadTokens(request: ForwardedRequest): Long =
        (request.promptTokens - prompts.keptTokens(request.weights, request.parts)).coerceAtLeast(0)

    /** Records activity of the target or its keeper. */
    fun heard() {
        heardMs = clock.nowMs()
        health?.heard(heardMs)
        if (silent) EventLog.info("target heard again", LogFields(target = entry.target))
        silent = false
    }

    /** Resets the silence measured so far, for example after this process was suspended. */
    fun excuseSilence() {
        health?.heard(clock.nowMs())
        silent = false
    }

    /**
     * Checks whether the target is silent, and cancels overdue requests that may be retried elsewhere.
     *
     * Must be called several times within the shortest silence limit. Returns whether [silent] has changed.
     */
    fun examineSilence(): Boolean {
        val nowMs = clock.nowMs()
        val before = silent
        if (inFlight.isNotEmpty()) lastWorkMs = nowMs
        val action = health?.check(nowMs, working = inFlight.isNotEmpty())
        if (action == ConnectionAction.REPLACE) {
            silent = true
            inFlight.toList().forEach { it.leaveIfHopeless(nowMs) }
        } else if (nowMs - lastWorkMs >= TRY_SILENT_AGAIN_MS) {
            silent = false
        }
        if (silent &&
            !before
        ) {
            EventLog.warn("target silent", LogFields(target = entry.target, extra = mapOf("inFlight" to "${inFlight.size}")))
        }
        return silent != before
    }

    fun begin(send: Send) {
        val nowMs = clock.nowMs()
        send.beganMs = nowMs
        val limitMs = send.silenceLimitMs
        val examined = health ?: ConnectionHealth(limitMs, limitMs, Long.MAX_VALUE, nowMs).also { health = it }
        examined.check(nowMs, working = inFlight.isNotEmpty())
        inFlight += send
        examined.check(nowMs, working = true)
        val model = send.model ?: return
        uses.merge(model to null, 1, Int::plus)
        send.adapter?.let { uses.merge(model to it, 1, Int::plus) }
    }

    fun end(send: Send) {
        inFlight -= send
        val model = send.model ?: return
        uses.putIfAbsent(model to null, 0)
        send.adapter?.let { uses.putIfAbsent(model to it, 0) }
    }

    /** Returns the uses since the last call with the requests in flight, and clears the uses. */
    fun takeUses(): List<Use> {
        val flying = mutableMapOf<Pair<String, String?>, Int>()
        inFlight.forEach { send ->
            val model = send.model ?: return@forEach
            flying.merge(model to null, 1, Int::plus)
            send.adapter?.let { flying.merge(model to it, 1, Int::plus) }
        }
        val keys = uses.keys + flying.keys
        val taken = keys.map { key -> Use(key.first, key.second, uses[key] ?: 0, flying[key] ?: 0) }
        uses.clear()
        return taken
    }

    /** Returns whether a load request for [model] and [adapter] may be sent again now; if so, records it as sent. */
    fun mayAsk(
        model: String,
        adapter: String?,
        intervalMs: Long,
    ): Boolean {
        val nowMs = clock.nowMs()
        val last = lastAskedMs[model to adapter]
        if (last != null && nowMs - last < intervalMs) return false
        lastAskedMs[model to adapter] = nowMs
        return true
    }

    /** Records the result of a request to this target. */
    fun weigh(failed: Boolean) {
        decay()
        sends += 1
        if (failed) failures += 1
    }

    /** Returns the share of recent requests that failed; it decays to 0 without requests. */
    fun failureShare(): Double {
        decay()
        return failures / (sends + TRUST)
    }

    private fun decay() {
        val nowMs = clock.nowMs()
        val factor = exp(-(nowMs - weighedMs) / MEMORY_MS)
        failures *= factor
        sends *= factor
        weighedMs = nowMs
    }

    override fun close() {
        gone = true
        pool.close()
        keeper?.close()
        inFlight.toList().forEach { it.leaveIfRepeatable() }
    }

    private companion object {
        /** Time constant of the decay of request counts: the duration of the shortest disturbances that are worth avoiding. */
        const val MEMORY_MS = 3_000.0

        /** A silent target without requests in flight is tried again after this; a connected keeper reports activity sooner. */
        const val TRY_SILENT_AGAIN_MS = 2_000L

        /** Number of successful requests assumed in advance for a target without history. */
        const val TRUST = 1.5
    }
}
