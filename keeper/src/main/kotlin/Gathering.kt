package org.almondjunction.keeper

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Runs [action] once for all requests that come within [gatherMs] of the first. */
internal class Gathering(
    private val scope: CoroutineScope,
    private val gatherMs: Long,
    private val action: () -> Unit,
) {
    private var waiting = false

    fun request() {
        if (waiting) return
        waiting = true
        scope.launch {
            delay(gatherMs)
            waiting = false
            action()
        }
    }
}
