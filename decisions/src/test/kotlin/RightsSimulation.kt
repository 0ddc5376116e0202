package org.almondjunction.decisions

import org.almondjunction.common.AdapterId
import org.almondjunction.common.Address
import org.almondjunction.common.HostId
import org.almondjunction.common.Location
import org.almondjunction.common.ModelId
import org.almondjunction.common.RegionId
import org.almondjunction.common.RequestId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.common.TicketNumber
import org.almondjunction.common.ZoneId
import kotlin.random.Random
import kotlin.test.assertTrue

/** Engine in memory that accepts or refuses each order. Orders may be delayed, but within the settle time of [TargetLimits]. */
class FakeEngine(
    val capacityMb: Long,
    val honoursFence: Boolean,
) {
    val residents = mutableMapOf<ResidentKey, ReportedResident>()
    private val loadedAtMs = mutableMapOf<ResidentKey, Long>()
    private val unloadedAtMs = mutableMapOf<ResidentKey, Long>()
    var fence = 0L

    fun order(
        order: Order,
        orderFence: Long,
        readyMs: Long,
    ): Boolean {
        if (honoursFence && orderFence < fence) return false
        fence = maxOf(fence, orderFence)
        when (order) {
            is Order.Load ->
                if (order.key !in residents) {
                    residents[order.key] = ReportedResident(order.key, order.memoryMb, loading = true)
                    loadedAtMs[order.key] = readyMs
                }
            is Order.Unload -> {
                if (residents[order.key]?.loading == true) return false
                if (order.key in residents) unloadedAtMs.putIfAbsent(order.key, readyMs)
            }
        }
        return true
    }

    fun advance(nowMs: Long) {
        val loaded = residents.values.filter { it.loading && loadedAtMs.getValue(it.key) <= nowMs }
        loaded.forEach { residents[it.key] = it.copy(loading = false) }
        val unloaded = unloadedAtMs.filterValues { it <= nowMs }.keys.toList()
        unloaded.forEach {
            unloadedAtMs.remove(it)
            residents.remove(it)
        }
    }

    fun crash() {
        residents.clear()
        unloadedAtMs.clear()
    }
}

/** A target with its engine, its agent's state and the messages between them. */
class FakeTarget(
    val record: TargetRecord,
    val engine: FakeEngine,
    val limits: TargetLimits,
    startMs: Long,
) {
    class SentOrder(
        val order: Order,
        val fence: Long,
        val incarnation: Int,
        val arriveMs: Long,
        val lost: Boolean,
    )

    class Reply(
        val order: Order,
        val incarnation: Int,
        val reply: OrderReply,
        val arriveMs: Long,
    )

    val machine = TargetMachine(limits, ResidencyPolicy.FixedIdleTime(idleMs = 3_000))
    var state = TargetState(engine.capacityMb, startMs)
    var incarnation = 0
    var fence = 0L
    var pausedUntilMs = 0L
    val inTransit = mutableListOf<SentOrder>()
    val replies = mutableListOf<Reply>()
    val releasedKeys = mutableListOf<RightKey>()
}

/** Targets, an object store with rights and tickets, entry hosts with views of different age, and a controller, simulated from a seed. */
class RightsSimulation(
    private val random: Random,
) {
    private var nowMs = 100_000L
    private val models = List(4) { ModelId("m$it") }
    private val targets = List(4) { newTarget(it) }
    private var catalogue = Catalogue()

    /** Only shards that were ever written, by index; the others are empty. */
    private var shards = emptyMap<Int, RightsShard>()
    private var revision = 1L
    private val leaving = mutableSetOf<TargetId>()
    private val views = mutableListOf<View>()
    private var requests = 0
    var loadsSeen = 0
        private set

    private class View(
        val revision: Long,
        val catalogue: Catalogue,
        val shards: Map<Int, RightsShard>,
    )

    private fun newTarget(index: Int): FakeTarget {
        val record = TargetRecord(TargetId("t$index"), ServiceId("s"), TargetKind.ENGINE, Address("127.0.0.1", 1 + index), memoryMb = 100)
        return FakeTarget(
            record,
            FakeEngine(capacityMb = 100, honoursFence = index % 2 == 0),
            TargetLimits(minimumResidencyMs = 200),
            nowMs,
        )
    }

    fun run(steps: Int) {
        publish()
        repeat(steps) {
            step()
            verify()
        }
    }

    private fun step() {
        when (random.nextInt(100)) {
            in 0..2 -> accept()
            in 3..14 -> plan()
            in 15..34 -> deliverState(targets.random(random))
            in 35..54 -> sendRequest(targets.random(random))
            in 55..56 -> restart(targets.random(random))
            in 57..58 -> targets.random(random).let { it.pausedUntilMs = nowMs + random.nextLong(20_000) }
            59 -> targets.random(random).engine.crash()
            60 ->
                targets
                    .random(random)
                    .record.target
                    .let { if (!leaving.remove(it)) leaving += it }
            else -> advance()
        }
    }

    private fun accept() {
        val offers =
            models.filter { random.nextBoolean() }.map { model ->
                val adapters = listOf(AdapterOffer(AdapterId("a-$model"), "1", memoryMb = 10))
                ModelOffer(
                    model,
                    ServiceId("s"),
                    "v${random.nextInt(2)}",
                    listOf(30L, 45L, 60L).random(random),
                    random.nextInt(0, 4),
                    adapters = adapters,
                )
            }
        if (offers.isEmpty()) return
        catalogue = catalogue.apply(Ticket(TicketNumber(catalogue.lastNumber.value + 1), offers))
        publish()
    }

    private fun publish() {
        revision++
        views += View(revision, catalogue, shards)
    }

    /** A delayed controller plans on a stale view; its conditional writes then fail. */
    private fun plan() {
        val basis = if (random.nextInt(4) == 0) views.random(random) else views.last()
        val changes = Placement.plan(PlacementInput(basis.catalogue, fleet(), basis.shards))
        val valid = changes.filterKeys { basis.shards[it] == shards[it] }
        if (valid.isEmpty()) return
        shards = (shards + valid).toSortedMap()
        publish()
    }

    private fun fleet(): Fleet {
        val location = Location(RegionId("r"), ZoneId("z"))
        return Fleet(
            targets.map {
                val status = if (it.record.target in leaving) HostStatus.LEAVING else HostStatus.LIVE
                HostRecord(HostId("h-${it.record.target}"), location, status, listOf(it.record))
            },
        )
    }

    /** Delivers the state of an entry host, which may be stale; only the newest can be confirmed. */
    private fun deliverState(target: FakeTarget) {
        val view = if (random.nextInt(3) == 0) views.random(random) else views.last()
        val rights =
            view.shards.values
                .flatMap { it.rights }
                .filter { it.target == target.record.target }
        val offers = rights.mapNotNull { view.catalogue.offers[it.model] }.distinct()
        val confirmed = view === views.last() && random.nextBoolean()
        handle(target, TargetEvent.StateReceived(view.revision, view.catalogue.sequence, offers, rights, confirmed))
    }

    private fun sendRequest(target: FakeTarget) {
        val model =
            target.state.rights
                .map { it.model }
                .randomOrNull(random) ?: models.random(random)
        val adapter =
            target.state.offers[model]
                ?.adapters
                ?.firstOrNull()
                ?.adapter
                ?.takeIf { random.nextInt(3) == 0 }
        val request = WaitingRequest(RequestId("r${requests++}"), model, adapter, random.nextInt(10), nowMs, nowMs + 15_000)
        handle(target, TargetEvent.Arrived(request))
    }

    /** Kills and restarts the process; its orders may still be in transit. */
    private fun restart(target: FakeTarget) {
        target.state = TargetState(target.engine.capacityMb, startedMs = nowMs)
        target.incarnation++
        target.fence = 0
        target.pausedUntilMs = 0
        target.releasedKeys.clear()
    }

    private fun advance() {
        nowMs += random.nextLong(1, 400)
        targets.forEach { target ->
            target.engine.advance(nowMs)
            deliverOrders(target)
            if (nowMs >= target.pausedUntilMs) runAgent(target)
        }
    }

    private fun deliverOrders(target: FakeTarget) {
        target.inTransit.filter { it.arriveMs <= nowMs }.forEach { sent ->
            target.inTransit.remove(sent)
            val accepted = target.engine.order(sent.order, sent.fence, readyMs = nowMs + random.nextLong(50, 3_000))
            val reply =
                when {
                    sent.lost -> OrderReply.LOST
                    accepted -> OrderReply.ACCEPTED
                    else -> OrderReply.REFUSED
                }
            target.replies += FakeTarget.Reply(sent.order, sent.incarnation, reply, nowMs + random.nextLong(100))
        }
    }

    private fun runAgent(target: FakeTarget) {
        target.replies.filter { it.arriveMs <= nowMs }.forEach { reply ->
            target.replies.remove(reply)
            if (reply.incarnation == target.incarnation) handle(target, TargetEvent.OrderReplied(reply.order, reply.reply))
        }
        if (random.nextBoolean()) report(target)
        target.state.running.values
            .filter { random.nextInt(4) == 0 }
            .forEach { handle(target, TargetEvent.Finished(it.id)) }
        handle(target, TargetEvent.Tick)
        release(target)
    }

    private fun report(target: FakeTarget) {
        if (target.fence == 0L) target.fence = target.engine.fence + 1
        handle(
            target,
            TargetEvent.Reported(
                EngineReport(
                    target.engine.residents.values
                        .toList(),
                ),
                requestedMs = nowMs,
            ),
        )
    }

    /** Conditional update by the entry host; it may fail and is then retried by the agent. */
    private fun release(target: FakeTarget) {
        if (target.releasedKeys.isEmpty() || random.nextInt(3) == 0) return
        val keys = target.releasedKeys.toSet()
        target.releasedKeys.clear()
        val released = shards.mapValues { it.value.release(keys) }
        if (released == shards) return
        shards = released
        publish()
    }

    private fun handle(
        target: FakeTarget,
        event: TargetEvent,
    ) {
        if (nowMs < target.pausedUntilMs) return
        val transition = target.machine.handle(target.state, event, nowMs)
        target.state = transition.state
        transition.effects.forEach { effect ->
            when (effect) {
                is TargetEffect.Send -> send(target, effect.order)
                is TargetEffect.ReleaseRights -> target.releasedKeys += effect.rights
                is TargetEffect.Interrupt -> handle(target, TargetEvent.Finished(effect.id))
                is TargetEffect.Dispatch -> assertServable(target, effect)
                is TargetEffect.Refuse -> Unit
            }
        }
    }

    private fun send(
        target: FakeTarget,
        order: Order,
    ) {
        if (order is Order.Load) loadsSeen++
        val delayMs = random.nextLong(target.limits.orderSettleMs - 100)
        target.inTransit += FakeTarget.SentOrder(order, target.fence, target.incarnation, nowMs + delayMs, lost = random.nextInt(5) == 0)
    }

    private fun assertServable(
        target: FakeTarget,
        effect: TargetEffect.Dispatch,
    ) {
        assertTrue(
            target.state.residents[effect.resident]?.phase == ResidentPhase.Loaded,
            "${effect.id} was dispatched to a model that is not loaded.",
        )
    }

    private fun verify() {
        targets.forEach { target ->
            val usedMb =
                target.engine.residents.values
                    .sumOf { it.memoryMb }
            assertTrue(usedMb <= target.engine.capacityMb, "${target.record.target} holds $usedMb MB of ${target.engine.capacityMb}.")
        }
        models.forEach { model ->
            val holders =
                targets.filter { target ->
                    target.engine.residents.keys
                        .any { it.model == model }
                }
            val rights = shards.values.flatMap { it.rights }.filter { it.model == model }
            assertTrue(rights.map { it.rank }.distinct().size == rights.size, "A rank of $model is held twice: $rights")
            holders.forEach { holder ->
                val versions =
                    holder.engine.residents.keys
                        .filter { it.model == model && it.adapter == null }
                assertTrue(versions.size <= 1, "${holder.record.target} holds two replicas of $model under one right: $versions")
                assertTrue(
                    rights.any { it.target == holder.record.target },
                    "${holder.record.target} holds $model without a right; rights: $rights",
                )
            }
        }
    }

    /** Runs without further faults until all is settled, and returns the number of replicas above the limits of the models. */
    fun settleAndCountSurplus(): Int {
        targets.forEach { it.pausedUntilMs = 0 }
        repeat(200) {
            nowMs += 100
            plan()
            targets.forEach { target ->
                target.engine.advance(nowMs)
                deliverState(target)
                deliverOrders(target)
                runAgent(target)
                verify()
            }
        }
        return models.sumOf { model ->
            val holders =
                targets.count { target ->
                    target.engine.residents.keys
                        .any { it.model == model }
                }
            maxOf(0, holders - (catalogue.offers[model]?.replicas ?: 0))
        }
    }
}
