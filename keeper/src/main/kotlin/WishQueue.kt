package org.almondjunction.keeper

/** Models that gateways wish for and that wait for their turn; a wish that is not repeated is forgotten, since its callers have left. */
internal class WishQueue {
    private class Waiting(
        var wish: KeeperMessage.Wish,
        val sinceMs: Long,
    ) {
        var askedMs = sinceMs
        var times = 0
    }

    private val waiting = mutableMapOf<String, Waiting>()

    fun add(
        wish: KeeperMessage.Wish,
        nowMs: Long,
    ) {
        val entry = waiting.getOrPut(wish.model) { Waiting(wish, nowMs) }
        if (wish.mayEvict || !entry.wish.mayEvict) entry.wish = wish
        entry.askedMs = nowMs
        entry.times++
    }

    /** Returns the models that wait and for which others may be unloaded. */
    fun models(nowMs: Long): List<String> {
        forget(nowMs)
        return waiting.filterValues { it.wish.mayEvict }.keys.toList()
    }

    /** Takes the wish whose turn it is: asked for most often, and longer waiting ones more and more; [held] models need none. */
    fun take(
        nowMs: Long,
        held: Set<String>,
    ): KeeperMessage.Wish? {
        forget(nowMs)
        waiting.keys.removeAll(held)
        val next = waiting.values.maxByOrNull { it.times + (nowMs - it.sinceMs) / WAIT_WORTH_ONE_ASK_MS } ?: return null
        waiting -= next.wish.model
        return next.wish
    }

    private fun forget(nowMs: Long) {
        waiting.values.removeIf { nowMs - it.askedMs > FORGET_MS }
    }

    private companion object {
        /** Gateways repeat a wish every 400 ms while they have a caller for it. */
        const val FORGET_MS = 1_500L
        const val WAIT_WORTH_ONE_ASK_MS = 400.0
    }
}
