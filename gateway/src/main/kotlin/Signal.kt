package org.almondjunction.gateway

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/** Wakes everybody who waits for a change of the state that gateways decide from. */
internal class Signal {
    private val changes = MutableStateFlow(0L)

    val count: Long get() = changes.value

    fun raise() {
        changes.value++
    }

    /** Returns when a change came after [seen], or after [timeoutMs]. */
    suspend fun await(
        seen: Long,
        timeoutMs: Long,
    ) {
        withTimeoutOrNull(timeoutMs) { changes.first { it != seen } }
    }
}
