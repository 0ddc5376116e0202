package org.almondjunction.decisions

import kotlin.math.ceil

/**
 * Token bucket of one tenant at a coordinator.
 *
 * The sum of the bucket and of the units that gateways may still spend never exceeds the burst plus what the rate yields within the
 * validity of a grant. Without this limit, gateways that return and take units in turn would store more than the burst.
 *
 * A new bucket starts with its debt used up, because the predecessor of its coordinator may have used it in the same window.
 */
internal class QuotaBucket(
    private var version: Long,
    private var bounds: QuotaBounds,
    private var updatedMs: Long,
) {
    private class Batch(
        val number: Long,
        val expiresMs: Long,
        var units: Double,
    )

    private var units = -bounds.debt

    /** Whether the bucket has never been at zero or above; until then, any request is granted that the debt covers. */
    private var starting = true
    private val outstanding = ArrayDeque<Batch>()

    /** Gateways with a request that could not be granted, in order, with the times at which they last asked. */
    private val queue = LinkedHashMap<String, Long>()

    /** Applies the limits of [want] if they are newer; the stricter ones if two gateways of one version disagree. */
    private fun update(want: QuotaWant) {
        if (want.version < version || (want.version == version && want.bounds.tolerance >= bounds.tolerance)) return
        version = want.version
        bounds = want.bounds
    }

    /** Answers [want] of [gateway] under [lease]. */
    fun answer(
        gateway: String,
        want: QuotaWant,
        lease: Long,
        nowMs: Long,
    ): QuotaGrant {
        update(want)
        refill(nowMs)
        takeBack(want.returned.filter { it.lease == lease })
        queue.values.removeIf { it <= nowMs - QUEUE_TIMEOUT_MS }
        val first = queue.keys.firstOrNull()
        var granted = 0L
        var served = 0
        if (first == null || first == gateway) {
            while (served < want.costs.size && grants(want.costs[served])) {
                units -= want.costs[served]
                granted += want.costs[served++]
            }
        }
        val refused = want.costs.getOrNull(served)
        if (refused == null || served > 0) queue -= gateway
        when {
            refused == null -> if (queue.isEmpty()) granted += takeAhead(want.ahead)
            // A request that can never be granted must not hold up those of other gateways.
            refused <= bounds.largestCost -> queue[gateway] = nowMs
        }
        if (granted > 0) record(granted, nowMs)
        val waitMs = refused?.let { waitMs(it, queue.keys.firstOrNull() == gateway) } ?: 0
        return QuotaGrant(want.tenant, granted, nowMs / BATCH_MS, bounds.validityMs, waitMs)
    }

    private fun grants(cost: Long): Boolean = (starting || units >= 0) && cost <= units + bounds.debt

    /** Takes units in advance; never more than a share of what is there, so that no gateway empties the bucket. */
    private fun takeAhead(wanted: Long): Long {
        val available = if (starting) units + bounds.debt else units
        val taken = minOf(wanted, (available / AHEAD_DIVISOR).toLong()).coerceAtLeast(0)
        units -= taken
        return taken
    }

    private fun refill(nowMs: Long) {
        while (outstanding.isNotEmpty() && outstanding.first().expiresMs <= nowMs) outstanding.removeFirst()
        val added = bounds.ratePerSecond * (nowMs - updatedMs).coerceAtLeast(0) / MILLISECONDS_PER_SECOND
        updatedMs = maxOf(updatedMs, nowMs)
        add(added)
    }

    /** Adds [added] within the capacity; a capacity below zero, as after a lowered limit, does not lower the bucket below zero. */
    private fun add(added: Double) {
        val capacity = capacity()
        val filled = minOf(units + added, capacity)
        units = if (filled >= units) filled else minOf(units, maxOf(capacity, 0.0))
        if (units >= 0) starting = false
    }

    private fun capacity(): Double {
        val spendable = outstanding.sumOf { it.units }
        return minOf(bounds.burst, bounds.burst + bounds.ratePerSecond * bounds.validityMs / MILLISECONDS_PER_SECOND - spendable)
    }

    /** Takes back units whose validity has not ended; others may be in no bucket, so they are lost. */
    private fun takeBack(returned: List<ReturnedUnits>) {
        for (part in returned) {
            val batch = outstanding.firstOrNull { it.number == part.batch } ?: continue
            val taken = minOf(part.units.toDouble(), batch.units).coerceAtLeast(0.0)
            batch.units -= taken
            add(taken)
        }
    }

    private fun record(
        granted: Long,
        nowMs: Long,
    ) {
        val number = nowMs / BATCH_MS
        val last = outstanding.lastOrNull()
        if (last == null || last.number != number) {
            outstanding.addLast(Batch(number, (number + 1) * BATCH_MS + bounds.validityMs, granted.toDouble()))
        } else {
            last.units += granted
        }
    }

    /** Returns the time until [cost] can be granted if no other request comes before it. */
    private fun waitMs(
        cost: Long,
        first: Boolean,
    ): Long {
        val missing = maxOf(if (starting) 0.0 else -units, cost - bounds.debt - units, 0.0)
        val waitMs = ceil(missing / bounds.ratePerSecond * MILLISECONDS_PER_SECOND).toLong().coerceIn(1, MAXIMUM_WAIT_MS)
        return if (first) waitMs else waitMs + BEHIND_OTHERS_MS
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Grants are accounted for in batches of this length, so that their number is bounded. */
        const val BATCH_MS = 100L

        /** A gateway asks again within 200 ms while a request waits; a longer silence shows that it no longer does. */
        const val QUEUE_TIMEOUT_MS = 500L

        /** A gateway may take a quarter of what is there in advance. */
        const val AHEAD_DIVISOR = 4

        /** Added for gateways that are not the first to wait. */
        const val BEHIND_OTHERS_MS = 20L
        const val MAXIMUM_WAIT_MS = 60_000L
    }
}
