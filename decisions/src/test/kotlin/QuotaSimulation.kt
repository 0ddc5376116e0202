package org.almondjunction.decisions

import org.almondjunction.common.HostTime
import java.util.PriorityQueue
import kotlin.random.Random

/**
 * Gateways, keepers and a store with simulated time, for one tenant.
 *
 * With [faults], keepers and gateways crash, freeze and are cut off, calls to the store are lost or carried out late, limits change, and the
 * store comes back from an older copy.
 */
internal class QuotaSimulation(
    private val random: Random,
    private val faults: Boolean,
    private var bounds: QuotaBounds,
    private val windowMs: Long = 8_000,
) {
    private var nowMs = 0L
    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.order }))
    private var eventCount = 0L
    private var version = 1L

    private class Event(
        val atMs: Long,
        val order: Long,
        val run: () -> Unit,
    )

    private fun after(
        delayMs: Long,
        run: () -> Unit,
    ) {
        events += Event(nowMs + delayMs, eventCount++, run)
    }

    /** A host with both clocks, whose process may be frozen. */
    private open inner class Host {
        private var suspendedMs = 0L
        private var wallOffsetMs = 0L
        var frozenUntilMs = 0L
        var cutUntilMs = 0L
        var storeCutUntilMs = 0L
        var generation = 0
        val storeCut get() = nowMs < maxOf(cutUntilMs, storeCutUntilMs)

        fun now() = HostTime(nowMs - suspendedMs, nowMs + wallOffsetMs)

        fun freeze(
            durationMs: Long,
            clockStops: Boolean,
        ) {
            frozenUntilMs = nowMs + durationMs
            if (clockStops) {
                suspendedMs += durationMs
            } else if (random.nextInt(4) == 0) {
                wallOffsetMs += random.nextLong(3_000)
            }
        }

        /** Runs [work] when the host is not frozen, unless it has crashed since. */
        fun deliver(work: () -> Unit) {
            val sent = generation

            fun attempt() {
                if (generation != sent) return
                if (nowMs < frozenUntilMs) after(frozenUntilMs - nowMs) { attempt() } else work()
            }
            attempt()
        }
    }

    private inner class Keeper(
        val name: String,
    ) : Host() {
        var shard = newShard()

        /** Processes that start together have the same incarnation, which is the time of their start. */
        fun newShard() = QuotaShard(name, incarnation = nowMs)

        fun tick() {
            val call = shard.next(now()) ?: return
            val asked = shard
            var done = false

            fun finish(answer: LeaseAnswer) =
                deliver {
                    if (!done && shard === asked) {
                        done = true
                        shard.receive(answer, now())
                    }
                }
            store.call(call, lossy = faults, reachable = !storeCut) { answer -> finish(answer) }
            after(STORE_TIMEOUT_MS) { finish(LeaseAnswer.Lost) }
        }

        fun restart() {
            generation++
            shard = newShard()
        }
    }

    private inner class Store {
        private var copies = listOf<Triple<Long, LeaseRecord?, Long>>()
        private var record: LeaseRecord? = null
        private var revision = 0L
        private var era = 1L

        fun restore() {
            val copy = copies.filter { it.first <= nowMs - random.nextLong(200, 6_000) }.lastOrNull()
            record = copy?.second
            revision = copy?.third ?: 0
            copies = copies.filter { it.first <= (copy?.first ?: 0) }
            era++
        }

        fun call(
            call: LeaseCall,
            lossy: Boolean,
            reachable: Boolean,
            answer: (LeaseAnswer) -> Unit,
        ) {
            if (!reachable) return
            val fate = if (lossy) random.nextInt(20) else 9
            val delayMs = random.nextLong(1, 20)
            when (fate) {
                0 -> Unit
                1 -> after(delayMs) { execute(call) }
                2 -> after(random.nextLong(100, 6_000)) { execute(call) }
                3 -> after(delayMs) { answer(LeaseAnswer.Lost) }
                4 -> after(delayMs) { execute(call).let { result -> after(random.nextLong(100, 1_500)) { answer(result) } } }
                else -> after(delayMs) { execute(call).let { result -> after(random.nextLong(1, 20)) { answer(result) } } }
            }
        }

        private fun execute(call: LeaseCall): LeaseAnswer =
            when (call) {
                LeaseCall.Read ->
                    if (revision == 0L ||
                        record == null
                    ) {
                        LeaseAnswer.Missing(era)
                    } else {
                        LeaseAnswer.Found(record, revision, era)
                    }
                is LeaseCall.Write ->
                    if (call.revision == revision.takeIf { record != null }) {
                        record = call.record
                        revision++
                        copies = copies + Triple(nowMs, record, revision)
                        LeaseAnswer.Found(record, revision, era)
                    } else {
                        LeaseAnswer.Conflict(era)
                    }
            }
    }

    /** A request of a caller, which is refused if it has not got its units after [PATIENCE_MS]. */
    private class Request(
        val cost: Long,
        val untilMs: Long,
        val waiter: QuotaAccount.Waiter,
    )

    private inner class Gateway(
        val name: String,
    ) : Host() {
        var version = this@QuotaSimulation.version
        var applied = bounds
        var account = QuotaAccount("t", applied, version)
        var search = CoordinatorSearch(0)
        var requests = mutableListOf<Request>()
        private var number = 0L
        private var inFlight: Pair<Long, HostTime>? = null
        private var sentMs = -HEARTBEAT_MS
        private val arrivals = mutableMapOf<Keeper, Long>()

        /** A gateway connects to the keepers one after the other, so that gateways begin their search at different ones. */
        private val connectedMs = keepers.associateWith { random.nextLong(CONNECTION_MS) }

        fun request(cost: Long) {
            if (nowMs < frozenUntilMs) return
            asked += cost
            val waiter = account.request(cost, PATIENCE_MS, now())
            if (waiter == null) refused += cost else requests += Request(cost, nowMs + PATIENCE_MS, waiter)
            settle()
        }

        private fun settle() {
            for (request in requests.toList()) {
                val charge = request.waiter.charge
                when {
                    charge != null -> {
                        requests -= request
                        if (random.nextInt(100) == 0) account.refund(charge, now()) else spend(request.cost)
                    }
                    nowMs >= request.untilMs -> {
                        requests -= request
                        refused += request.cost
                        account.cancel(request.waiter, now())
                    }
                }
            }
        }

        private fun spend(cost: Long) {
            spent += Spending(nowMs, cost)
        }

        fun restart() {
            generation++
            requests.clear()
            account = QuotaAccount("t", applied, version)
            inFlight = null
            search = CoordinatorSearch(0)
        }

        fun apply() {
            version = this@QuotaSimulation.version
            applied = bounds
            account.update(applied, version)
        }

        fun tick() {
            settle()
            val names = connectedKeepers()
            inFlight?.let { (_, asked) ->
                if (asked.longestMsUntil(now()) < CoordinatorSearch.ANSWER_TIMEOUT_MS) return
                inFlight = null
                search.unanswered(names)
            }
            if (!account.needsUnits(now()) && now().monotonicMs - sentMs < HEARTBEAT_MS) return
            val chosen = search.keeper(names) ?: return
            val keeper = keepers.first { it.name == chosen }
            val asked = now()
            val current = ++number
            sentMs = asked.monotonicMs
            inFlight = current to asked
            val want = account.want(asked)
            send(keeper) { keeper.deliver { answer(keeper, want) { grant, lease, other -> receive(current, grant, lease, other) } } }
        }

        private fun connectedKeepers() = keepers.filter { nowMs >= connectedMs.getValue(it) }.map { it.name }

        private fun answer(
            keeper: Keeper,
            want: QuotaWant,
            reply: (QuotaGrant?, Long?, String?) -> Unit,
        ) {
            keeper.shard.recordAsked(keeper.now())
            val grant = keeper.shard.answer(name, want, keeper.now())
            if (grant != null && grant.units > 0) grants += Granting(keeper.name)
            val lease = keeper.shard.heldId(keeper.now())
            val other = keeper.shard.other
            send(keeper) { deliver { reply(grant, lease, other) } }
        }

        /** Messages of a connection arrive in order, and those of a cut host are lost or late. */
        private fun send(
            keeper: Keeper,
            arrive: () -> Unit,
        ) {
            val cutMs = maxOf(cutUntilMs, keeper.cutUntilMs) - nowMs
            if (cutMs > 0 && random.nextBoolean()) return
            val late = if (faults && random.nextInt(50) == 0) random.nextLong(3_000) else 0
            val atMs = maxOf(arrivals[keeper] ?: 0, nowMs + cutMs.coerceAtLeast(0) + late + random.nextLong(1, 20))
            arrivals[keeper] = atMs
            after(atMs - nowMs, arrive)
        }

        private fun receive(
            current: Long,
            grant: QuotaGrant?,
            lease: Long?,
            other: String?,
        ) {
            val (awaited, asked) = inFlight ?: return
            if (awaited != current) return
            inFlight = null
            if (lease == null || grant == null) return search.redirected(other, connectedKeepers())
            search.answered()
            account.receive(grant, lease, asked, now())
            settle()
        }
    }

    class Spending(
        val atMs: Long,
        val cost: Long,
    )

    private class Granting(
        val keeper: String,
    )

    private class Reign(
        val bounds: QuotaBounds,
        val fromMs: Long,
        var untilMs: Long = Long.MAX_VALUE / 2,
    )

    private val store = Store()
    private val keepers = List(3) { Keeper("k$it") }
    private val gateways = List(4) { Gateway("g$it") }
    private val reigns = mutableListOf(Reign(bounds, 0))
    private val grants = mutableListOf<Granting>()
    val spent = mutableListOf<Spending>()
    val asked = mutableListOf<Long>()
    val refused = mutableListOf<Long>()

    /** Number of steps at which more than one keeper would have granted. */
    var simultaneousCoordinators = 0
        private set

    /** Number of changes of the coordinator. */
    val handovers get() = grants.zipWithNext().count { (first, second) -> first.keeper != second.keeper }

    /** Runs for [durationMs]; [arrivals] gives, for each gateway and step, the costs of new requests. */
    fun run(
        durationMs: Long,
        arrivals: (gateway: Int, nowMs: Long) -> List<Long>,
    ) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            while (events.isNotEmpty() && events.peek().atMs <= nowMs) events.poll().run()
            if (faults) disturb()
            keepers.forEach { if (nowMs >= it.frozenUntilMs) it.tick() }
            gateways.forEachIndexed { index, gateway ->
                arrivals(index, nowMs).forEach { gateway.request(it) }
                if (nowMs >= gateway.frozenUntilMs) gateway.tick()
            }
            if (keepers.count { nowMs >= it.frozenUntilMs && it.shard.heldId(it.now()) != null } > 1) simultaneousCoordinators++
            nowMs += STEP_MS
        }
    }

    private fun disturb() {
        val keeper = keepers.random(random)
        val gateway = gateways.random(random)
        when (random.nextInt(1_500)) {
            0 -> keeper.restart()
            1 -> gateway.restart()
            2, 3 -> keeper.freeze(random.nextLong(6_000), clockStops = random.nextBoolean())
            4, 5 -> gateway.freeze(random.nextLong(4_000), clockStops = random.nextBoolean())
            6 -> keeper.cutUntilMs = nowMs + random.nextLong(5_000)
            7 -> gateway.cutUntilMs = nowMs + random.nextLong(5_000)
            8 -> store.restore()
            9, 10 -> keeper.storeCutUntilMs = nowMs + random.nextLong(5_000)
            11 -> if (random.nextInt(3) == 0) changeLimits()
        }
    }

    private fun changeLimits() {
        val factor = listOf(0.25, 0.5, 2.0, 4.0).random(random)
        val rate = (bounds.ratePerSecond * factor).coerceIn(200.0, 20_000.0)
        val burst = (bounds.burst * factor).coerceIn(200.0, 20_000.0)
        bounds = QuotaBounds(rate, burst, 0.1 * (rate * windowMs / 1_000 + burst))
        version++
        reigns.last().untilMs = nowMs + APPLY_MS + QuotaBounds.MAXIMUM_VALIDITY_MS
        reigns += Reign(bounds, nowMs)
        gateways.forEach { gateway -> after(random.nextLong(APPLY_MS - 1_500)) { gateway.deliver { gateway.apply() } } }
    }

    /** Returns the largest share of its bound that any window has used. */
    fun largestShare(): Double {
        val ordered = spent.sortedBy { it.atMs }
        var first = 0
        var sum = 0L
        var largest = 0.0
        for (spending in ordered) {
            sum += spending.cost
            while (ordered[first].atMs <= spending.atMs - windowMs) sum -= ordered[first++].cost
            val startMs = spending.atMs - windowMs
            val bound =
                reigns
                    .filter { it.fromMs <= spending.atMs && it.untilMs >= startMs }
                    .maxOf { it.bounds.ratePerSecond * windowMs / 1_000 + it.bounds.burst + it.bounds.tolerance }
            largest = maxOf(largest, sum / bound)
        }
        return largest
    }

    companion object {
        const val STEP_MS = 10L
        const val PATIENCE_MS = 3_000L
        private const val STORE_TIMEOUT_MS = 500L
        private const val HEARTBEAT_MS = 1_000L
        private const val APPLY_MS = 4_000L

        /** Time in which a gateway connects to all keepers. */
        private const val CONNECTION_MS = 500L
    }
}
