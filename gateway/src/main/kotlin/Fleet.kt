package org.almondjunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.almondjunction.common.Address
import org.almondjunction.common.Location
import org.almondjunction.common.RegionId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.common.ZoneId
import org.almondjunction.decisions.AnswerDurations
import org.almondjunction.decisions.DemandStatistics
import org.almondjunction.decisions.WorkloadStatistics
import org.almondjunction.keeper.Demand
import org.almondjunction.network.ByteBudget
import org.almondjunction.network.EventLoop
import org.almondjunction.network.launchAlways

/** Where a gateway stands, and where zones lie. */
public data class Place(
    val location: Location,
    val regionOfZone: Map<ZoneId, RegionId>,
) {
    /** Returns the expected one-way time to [zone], in milliseconds. */
    public fun distanceMs(zone: ZoneId): Double =
        when {
            zone == location.zone -> IN_ZONE_MS
            regionOfZone[zone] == location.region -> BETWEEN_ZONES_MS
            else -> BETWEEN_REGIONS_MS
        }

    private companion object {
        /** Typical one-way times of the users' networks. */
        const val IN_ZONE_MS = 0.1
        const val BETWEEN_ZONES_MS = 1.0
        const val BETWEEN_REGIONS_MS = 12.0
    }
}

/**
 * Every target that this gateway may use.
 *
 * @param keeperPort port of the keeper beside each engine
 */
internal class Fleet(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val gateway: String,
    private val keeperPort: Int,
    private val state: GatewayState,
) {
    private val targets = mutableMapOf<TargetId, Target>()

    /** Targets that are no longer listed and still answer requests. */
    private val departed = mutableSetOf<Target>()

    private var gatewaysSeen = setOf(gateway)
    private var gatewaysSeenAt = state.changed.count

    /** Names of the gateways that keepers see. */
    val gateways: Set<String>
        get() {
            val changes = state.changed.count
            if (changes != gatewaysSeenAt) {
                gatewaysSeen = targets.values.flatMapTo(mutableSetOf(gateway)) { it.status?.gateways.orEmpty() }
                gatewaysSeenAt = changes
            }
            return gatewaysSeen
        }

    fun start() {
        scope.launchAlways("sweep of kept connections") {
            while (true) {
                delay(SWEEP_MS)
                targets.values.forEach { it.pool.sweep() }
            }
        }
        scope.launchAlways("examination of silence") { examineSilence() }
    }

    private suspend fun examineSilence() {
        var examinedMs = loop.clock.nowMs()
        while (true) {
            delay(EXAMINATION_MS)
            val nowMs = loop.clock.nowMs()
            // Signs that came while this process itself stood still are not read yet.
            val stoodStill = nowMs - examinedMs > STOOD_STILL_MS
            examinedMs = nowMs
            if (stoodStill) targets.values.forEach { it.excuseSilence() }
            departed.removeIf { it.inFlight.isEmpty() }
            departed.toList().forEach { it.examineSilence() }
            if (targets.values.toList().count { it.examineSilence() } > 0) state.changed.raise()
        }
    }

    fun apply(change: TargetDirectory.Change) {
        when (change) {
            is TargetDirectory.Change.Put -> put(change.entry)
            is TargetDirectory.Change.Removed -> targets.remove(change.target)?.let { depart(it) }
        }
        state.changed.raise()
    }

    private fun put(entry: TargetEntry) {
        val known = targets[entry.target]
        val same = known != null && known.entry.bornMs == entry.bornMs && known.entry.address == entry.address
        if (known != null && same) {
            known.update(entry)
        } else {
            known?.let { depart(it) }
            targets[entry.target] = Target(loop, entry, promptMemoryOf(entry.service))
        }
        link(targets.getValue(entry.target))
    }

    private fun depart(target: Target) {
        target.close()
        if (target.inFlight.isNotEmpty()) departed += target
    }

    /** Dials the keepers of engines whose services are known by now. */
    fun linkAll(): Unit = targets.values.forEach { link(it) }

    private fun link(target: Target) {
        if (target.keeper != null ||
            state.configuration
                ?.services
                ?.get(target.entry.service)
                ?.engine == null
        ) {
            return
        }
        val address = Address(target.entry.address.ip, keeperPort)
        target.keeper = KeeperLink(loop, scope, gateway, address, target, state.changed) { demandAt(target) }
    }

    /** What callers of this gateway ask of the models of [target]; engines that hold the same model share it. */
    private fun demandAt(target: Target): List<Demand> {
        val nowMs = loop.clock.nowMs()
        val others = othersBeside(target)
        return target.models.keys.map { model ->
            val copies = 1 + others.count { model in it.models }
            Demand(model, (state.demand.perSecond(model, nowMs) / copies).toFloat(), state.work.answerMs(model).toInt())
        }
    }

    private fun promptMemoryOf(service: ServiceId): Long =
        state.configuration
            ?.services
            ?.get(service)
            ?.engine
            ?.promptMemoryTokens ?: DEFAULT_PROMPT_MEMORY_TOKENS

    fun ready(service: ServiceId): List<Target> =
        targets.values
            .filter {
                it.entry.service == service &&
                    it.entry.ready &&
                    !it.gone &&
                    it.answering
            }.let { possible -> possible.filterNot { it.silent }.ifEmpty { possible } }

    /** Targets that may take requests for the service of [target] in its place. */
    fun othersBeside(target: Target): List<Target> = ready(target.entry.service).filter { it !== target }

    private companion object {
        const val SWEEP_MS = 1_000L
        const val EXAMINATION_MS = 100L

        /** An examination so late shows that this process did not run; well below the shortest silence that counts. */
        const val STOOD_STILL_MS = 400L

        /** Assumed until the configuration tells. */
        const val DEFAULT_PROMPT_MEMORY_TOKENS = 200_000L
    }
}

/** What is accepted and known, shared by the parts of a gateway. */
internal class GatewayState {
    val changed = Signal()
    var configuration: GatewayConfiguration? = null
    var leaving = false

    /** When requests whose answers have not begun get their last word, since this gateway goes; never before it leaves. */
    var lastWordMs = Long.MAX_VALUE

    /** When this process ends; never before it leaves. */
    var endMs = Long.MAX_VALUE

    /** Bodies and unfinished events that this process holds at this moment. */
    val gathered = ByteBudget(Runtime.getRuntime().maxMemory() / SHARE_OF_MEMORY)

    /** What callers ask for, and who waits for it. */
    val demand = DemandStatistics()
    val waiting = WaitingCallers()
    val work = WorkloadStatistics()

    /** How long the answers of each route last. */
    val durations = AnswerDurations()

    private companion object {
        /** Part of the heap, as its divisor, that bodies may fill; joining the parts of a body takes as much again. */
        const val SHARE_OF_MEMORY = 4
    }
}
