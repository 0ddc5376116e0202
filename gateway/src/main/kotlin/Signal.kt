package org.almondjunction.gateway

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/** Wakes all coroutines that wait for a change of the state on which a gateway bases its decisions. */
internal class Signal {
    private val changes = MutableStateFlow(0L)

    val count: Long get() = changes.value

    fun raise() {
        changes.value++
    }

    /** Returns when [count] differs from [seen], or after [timeoutMs]. */
    suspend fun await(
        seen: Long,
        timeoutMs: Long,
    ) {
        withTimeoutOrNull(timeoutMs) { changes.first { it != seen } }
    }
}
