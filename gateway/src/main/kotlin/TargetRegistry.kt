package org.almondjunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.decisions.SoftwareVersion
import org.almondjunction.keeper.BrokenOff
import org.almondjunction.keeper.Demand
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.keeper.SentStream
import org.almondjunction.network.EventLoop
import org.almondjunction.network.launchRestarting

/**
 * Registry of the targets that this gateway may use.
 *
 * @param keeperPort port of the keeper next to each engine
 */
internal class TargetRegistry(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val gateway: String,
    private val keeperPort: Int,
    private val state: GatewayState,
) {
    private val targets = mutableMapOf<TargetId, Target>()

    /** Targets that are no longer listed but still have requests in flight. */
    private val removedTargets = mutableSetOf<Target>()

    /** Receives the answers of keepers to requests for units of quotas. */
    var onQuotaReply: (KeeperMessage.QuotaReply) -> Unit = {}

    /** Receives from the keeper at an address what it remembers of streams that callers take up. */
    var onResumedStreams: (keeper: String, answers: List<SentStream>) -> Unit = { _, _ -> }

    /** Addresses of the keepers that are connected. */
    val connectedKeepers: Set<String>
        get() = targets.values.filter { it.keeper?.connected == true }.mapTo(mutableSetOf()) { it.entry.address.ip }

    private var knownGateways = setOf(gateway)
    private var knownGatewaysChange = state.changed.count

    /** Names of the gateways that are connected to keepers, including this one. */
    val gateways: Set<String>
        get() {
            val changes = state.changed.count
            if (changes != knownGatewaysChange) {
                knownGateways = targets.values.flatMapTo(mutableSetOf(gateway)) { it.status?.gateways.orEmpty() }
                knownGatewaysChange = changes
            }
            return knownGateways
        }

    fun start() {
        scope.launchRestarting("sweep of idle connections") {
            while (true) {
                delay(SWEEP_INTERVAL_MS)
                targets.values.forEach { it.pool.sweep() }
            }
        }
        scope.launchRestarting("silence check") { checkSilence() }
    }

    private suspend fun checkSilence() {
        var checkedMs = loop.clock.nowMs()
        while (true) {
            delay(CHECK_INTERVAL_MS)
            val nowMs = loop.clock.nowMs()
            // Activity that arrived while this process was suspended has not been read yet.
            val suspended = nowMs - checkedMs > SUSPENSION_MS
            checkedMs = nowMs
            if (suspended) targets.values.forEach { it.resetSilence() }
            removedTargets.removeIf { it.inFlight.isEmpty() }
            removedTargets.toList().forEach { it.checkSilence() }
            reportEndedWaits(nowMs)
            if (targets.values.toList().count { it.checkSilence() } > 0) state.changed.raise()
        }
    }

    private fun reportEndedWaits(nowMs: Long) {
        val ended = state.signals.takeEnded(nowMs)
        ended.forEach { EventLog.info("target accepts requests again", LogFields(target = it)) }
        if (ended.isNotEmpty()) state.changed.raise()
    }

    fun apply(change: TargetDirectory.Change) {
        when (change) {
            is TargetDirectory.Change.Put -> put(change.entry)
            is TargetDirectory.Change.Removed -> targets.remove(change.target)?.let { drain(it) }
        }
        state.changed.raise()
    }

    private fun put(entry: TargetEntry) {
        val known = targets[entry.target]
        val same = known != null && known.entry.startedMs == entry.startedMs && known.entry.address == entry.address
        if (known != null && same) {
            known.update(entry)
        } else {
            known?.let { drain(it) }
            targets[entry.target] = Target(loop, entry, promptCacheTokensOf(entry.service)) { maximumCachedParts() }
        }
        connectKeeper(targets.getValue(entry.target))
    }

    private fun drain(target: Target) {
        target.close()
        if (target.inFlight.isNotEmpty()) removedTargets += target
    }

    /** Connects to the keepers of all engines whose service is configured. */
    fun connectKeepers(): Unit = targets.values.forEach { connectKeeper(it) }

    private fun connectKeeper(target: Target) {
        if (target.keeper != null ||
            state.configuration
                ?.services
                ?.get(target.entry.service)
                ?.engine == null
        ) {
            return
        }
        val address = Address(target.entry.address.ip, keeperPort)
        target.keeper =
            KeeperLink(
                loop = loop,
                scope = scope,
                gateway = gateway,
                address = address,
                target = target,
                state = state,
                onQuotaReply = { onQuotaReply(it) },
                onResumedStreams = { onResumedStreams(address.ip, it) },
                demand = { demandAt(target) },
            )
    }

    /** Whether all keepers have reported their state since this gateway started. */
    val keepersHeard: Boolean get() = targets.values.all { it.keeper?.heard ?: true }

    /** Reports [brokenOff] to the keeper of [target]; returns the number of the report on the connection, null if there is none. */
    fun report(
        target: Target,
        brokenOff: BrokenOff,
    ): Int? {
        val ip = target.entry.address.ip
        val number = connectedKeeper(ip)?.countReport()
        send(ip, KeeperMessage.Usage(emptyList(), brokenOff = listOf(brokenOff)))
        return number
    }

    /** Records a complete answer to [request], and reports it to the keepers whose engines were suspected to end under its parts. */
    fun recordAnswer(request: ForwardedRequest) {
        state.crashes.recordAnswer(request).forEach { (ip, answered) ->
            send(ip, KeeperMessage.Usage(emptyList(), answered = answered))
        }
    }

    /** Records a complete answer to [request] by [target] unless its keeper soon finds that it has ended. */
    fun recordAnswerIfRunning(
        request: ForwardedRequest,
        target: Target,
    ) {
        scope.launch {
            delay(TargetEndCheck.END_DETECTION_MS)
            if (!target.closed && target.status?.engineReachable == true) recordAnswer(request)
        }
    }

    /** Sends [message] on any connection to the keeper at [ip], since targets that ended no longer have one. */
    fun send(
        ip: String,
        message: KeeperMessage,
    ) {
        val link = connectedKeeper(ip)
        if (link == null) {
            EventLog.warn("keeper not connected; a report to it is lost", LogFields(extra = mapOf("keeper" to ip)))
        } else {
            scope.launch { link.send(message) }
        }
    }

    /** Sends [request] to the keeper at [ip], if it is connected. */
    fun requestQuotas(
        ip: String,
        request: KeeperMessage.QuotaRequest,
    ) {
        val link = connectedKeeper(ip) ?: return
        scope.launch { link.send(request) }
    }

    private fun connectedKeeper(ip: String): KeeperLink? =
        targets.values.firstOrNull { it.entry.address.ip == ip && it.keeper?.connected == true }?.keeper

    /** Returns this gateway's demand for the models of [target], divided by the number of engines that hold the same model. */
    private fun demandAt(target: Target): List<Demand> {
        val nowMs = loop.clock.nowMs()
        val others = otherTargets(target)
        return target.models.keys.map { model ->
            val replicas = 1 + others.count { model in it.models }
            Demand(model, (state.demand.perSecond(model, nowMs) / replicas).toFloat(), state.workStatistics.answerMs(model).toInt())
        }
    }

    private fun promptCacheTokensOf(service: ServiceId): Long =
        state.configuration
            ?.services
            ?.get(service)
            ?.engine
            ?.promptCacheTokens ?: DEFAULT_PROMPT_CACHE_TOKENS

    /** Limit for the prompt parts in the estimate of one target: all targets together may use a fixed share of the heap. */
    private fun maximumCachedParts(): Int {
        val totalParts = Runtime.getRuntime().maxMemory() / CACHED_PARTS_HEAP_DIVISOR / PromptCacheEstimate.PART_BYTES
        return (totalParts / targets.size.coerceAtLeast(1)).toInt()
    }

    fun ready(service: ServiceId): List<Target> {
        val nowMs = loop.clock.nowMs()
        return running(service)
            .filter { state.signals.accepts(it.entry.target, it.entry.startedMs, nowMs) }
            .let { accepting -> accepting.filterNot { it.silent }.ifEmpty { accepting } }
    }

    /** Returns the time until the first target of [service] with [model], null for any, accepts requests; null if none will. */
    fun waitMs(
        service: ServiceId,
        model: String? = null,
    ): Long? {
        val nowMs = loop.clock.nowMs()
        val holders = running(service).filter { model == null || model in it.models }
        return holders.mapNotNull { state.signals.waitMs(it.entry.target, it.entry.startedMs, nowMs) }.minOrNull()
    }

    /** Returns the targets of [service] that run, including those that have asked for no requests. */
    fun running(service: ServiceId): List<Target> = listed(service).filter { it.answering }

    /** Returns the versions of the software of the targets that are listed for [service]. */
    fun versions(service: ServiceId): Set<SoftwareVersion> =
        targets.values.filter { it.entry.service == service }.mapTo(mutableSetOf()) { it.softwareVersion }

    /** Whether a target of [service] other than [target] may continue a stream of [version]. */
    fun mayContinue(
        service: ServiceId,
        target: Target?,
        version: SoftwareVersion,
    ): Boolean = running(service).any { it !== target && it.softwareVersion == version }

    /** Returns the targets of [service] that are listed but do not answer their keepers, as after a crash. */
    fun unreachable(service: ServiceId): List<Target> = listed(service).filterNot { it.answering }

    private fun listed(service: ServiceId) = targets.values.filter { it.entry.service == service && it.entry.ready && !it.closed }

    /** Returns the other targets that accept requests for the service of [target]. */
    fun otherTargets(target: Target): List<Target> = ready(target.entry.service).filter { it !== target }

    private companion object {
        const val SWEEP_INTERVAL_MS = 1_000L
        const val CHECK_INTERVAL_MS = 100L

        /** A longer interval between checks shows that this process was suspended; well below the shortest silence limit. */
        const val SUSPENSION_MS = 400L

        /** Estimates of prompt caches may fill the heap divided by this. */
        const val CACHED_PARTS_HEAP_DIVISOR = 8

        /** Assumed until a configuration is in force. */
        const val DEFAULT_PROMPT_CACHE_TOKENS = 200_000L
    }
}
