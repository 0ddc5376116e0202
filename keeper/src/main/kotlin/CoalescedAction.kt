package org.almondjunction.keeper

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Runs [action] once for all calls of [schedule] within [delayMs] of the first. */
internal class CoalescedAction(
    private val scope: CoroutineScope,
    private val delayMs: Long,
    private val action: () -> Unit,
) {
    private var scheduled = false

    fun schedule() {
        if (scheduled) return
        scheduled = true
        scope.launch {
            delay(delayMs)
            scheduled = false
            action()
        }
    }
}
