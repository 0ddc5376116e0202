package org.almondjunction.keeper

import org.almondjunction.decisions.LoadValue

/** Queue of models that gateways have requested. A request that is not repeated expires, because no caller waits for it any longer. */
internal class LoadQueue {
    private class ReceivedRequest(
        val request: KeeperMessage.LoadRequest,
        val receivedMs: Long,
    )

    private class PendingLoad(
        var request: KeeperMessage.LoadRequest,
        val sinceMs: Long,
    ) {
        val byGateway = mutableMapOf<String, ReceivedRequest>()

        fun valueMs(): Double =
            byGateway.values.let { all ->
                LoadValue.valueMs(all.sumOf { it.request.callers.toDouble() }, all.sumOf { it.request.requestsPerSecond.toDouble() })
            }
    }

    private val pending = mutableMapOf<String, PendingLoad>()

    fun add(
        gateway: String,
        request: KeeperMessage.LoadRequest,
        nowMs: Long,
    ) {
        val entry = pending.getOrPut(request.model) { PendingLoad(request, nowMs) }
        if (request.mayEvict || !entry.request.mayEvict) entry.request = request
        entry.byGateway[gateway] = ReceivedRequest(request, nowMs)
    }

    /** Returns the queued models for which others may be evicted. */
    fun models(nowMs: Long): List<String> {
        removeExpired(nowMs)
        return pending.filterValues { it.request.mayEvict }.keys.toList()
    }

    /** Takes the load of highest priority, which is its value to callers plus a bonus for waiting time; drops the models in [held]. */
    fun take(
        nowMs: Long,
        held: Set<String>,
    ): ValuedLoad? {
        removeExpired(nowMs)
        pending.keys.removeAll(held)
        val next = pending.values.maxByOrNull { it.valueMs() + (nowMs - it.sinceMs) * WAIT_WEIGHT } ?: return null
        pending -= next.request.model
        return ValuedLoad(next.request, next.valueMs())
    }

    private fun removeExpired(nowMs: Long) {
        pending.values.forEach { entry -> entry.byGateway.values.removeIf { nowMs - it.receivedMs > REQUEST_EXPIRY_MS } }
        pending.values.removeIf { it.byGateway.isEmpty() }
    }

    private companion object {
        /** Gateways repeat a request every 400 ms while a caller waits for it. */
        const val REQUEST_EXPIRY_MS = 1_500L

        /** Prevents starvation of requests with few callers; waiting for 3 s counts as one more caller. */
        const val WAIT_WEIGHT = 3.0
    }
}

/**
 * A load that was taken from the queue.
 *
 * @property valueMs value of the load to the callers of all gateways that requested it, as defined by `LoadValue`
 */
internal class ValuedLoad(
    val request: KeeperMessage.LoadRequest,
    val valueMs: Double,
) {
    /** Whether the engine was ordered to load it. */
    var ordered = false
}
