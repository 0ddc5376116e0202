package org.almondjunction.keeper

import org.almondjunction.decisions.LoadValue

/** Models that gateways wish for and that wait for their turn; a wish that is not repeated is forgotten, since its callers have left. */
internal class WishQueue {
    private class Asked(
        val wish: KeeperMessage.LoadRequest,
        val atMs: Long,
    )

    private class Waiting(
        var wish: KeeperMessage.LoadRequest,
        val sinceMs: Long,
    ) {
        val byGateway = mutableMapOf<String, Asked>()

        fun valueMs(): Double =
            byGateway.values.let { all ->
                LoadValue.ofMs(all.sumOf { it.wish.callers.toDouble() }, all.sumOf { it.wish.requestsPerSecond.toDouble() })
            }
    }

    private val waiting = mutableMapOf<String, Waiting>()

    fun add(
        gateway: String,
        wish: KeeperMessage.LoadRequest,
        nowMs: Long,
    ) {
        val entry = waiting.getOrPut(wish.model) { Waiting(wish, nowMs) }
        if (wish.mayEvict || !entry.wish.mayEvict) entry.wish = wish
        entry.byGateway[gateway] = Asked(wish, nowMs)
    }

    /** Returns the models that wait and for which others may be unloaded. */
    fun models(nowMs: Long): List<String> {
        forget(nowMs)
        return waiting.filterValues { it.wish.mayEvict }.keys.toList()
    }

    /** Takes the wish whose turn it is: worth most to callers, and longer waiting ones more and more; [held] models need none. */
    fun take(
        nowMs: Long,
        held: Set<String>,
    ): ValuedWish? {
        forget(nowMs)
        waiting.keys.removeAll(held)
        val next = waiting.values.maxByOrNull { it.valueMs() + (nowMs - it.sinceMs) * WAIT_WEIGHT } ?: return null
        waiting -= next.wish.model
        return ValuedWish(next.wish, next.valueMs())
    }

    private fun forget(nowMs: Long) {
        waiting.values.forEach { entry -> entry.byGateway.values.removeIf { nowMs - it.atMs > FORGET_MS } }
        waiting.values.removeIf { it.byGateway.isEmpty() }
    }

    private companion object {
        /** Gateways repeat a wish every 400 ms while they have a caller for it. */
        const val FORGET_MS = 1_500L

        /** Keeps a wish of few callers from being passed over for ever; one that waits for 3 s counts as one caller more. */
        const val WAIT_WEIGHT = 3.0
    }
}

/**
 * A wish whose turn it is.
 *
 * @property valueMs what the load is worth to the callers of all gateways that asked for it, as `LoadValue` says
 */
internal class ValuedWish(
    val wish: KeeperMessage.LoadRequest,
    val valueMs: Double,
)
