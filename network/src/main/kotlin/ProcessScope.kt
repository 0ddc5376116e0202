package org.almondjunction.network

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import kotlin.coroutines.cancellation.CancellationException
import kotlin.coroutines.coroutineContext

/** Returns a scope whose coroutines run on [loop]; an unexpected error in one ends only that one, is logged, and calls [onFailure]. */
public fun processScope(
    loop: EventLoop,
    onFailure: () -> Unit = {},
): CoroutineScope {
    val handler =
        CoroutineExceptionHandler { _, failure ->
            logUnexpected("coroutine", failure)
            onFailure()
        }
    return CoroutineScope(SupervisorJob() + loop + handler)
}

/** Runs [work], which is not expected to return, and restarts it [RESTART_DELAY_MS] after each unexpected error. */
public fun CoroutineScope.launchRestarting(
    name: String,
    onFailure: () -> Unit = {},
    work: suspend () -> Unit,
): Job =
    launch {
        while (true) {
            try {
                return@launch work()
            } catch (cancellation: CancellationException) {
                coroutineContext.ensureActive()
                logUnexpected(name, cancellation)
            } catch (failure: Throwable) {
                logUnexpected(name, failure)
            }
            onFailure()
            delay(RESTART_DELAY_MS)
        }
    }

/** Logs [failure]. When logging itself fails, for example for lack of memory, the process continues without the log line. */
internal fun logUnexpected(
    where: String,
    failure: Throwable,
) {
    try {
        writeLogLine(where, failure)
    } catch (loggingFailure: Throwable) {
        failure.addSuppressed(loggingFailure)
    }
}

private fun writeLogLine(
    where: String,
    failure: Throwable,
) {
    val place = failure.stackTrace.firstOrNull()?.toString()
    EventLog.error("unexpected error", LogFields(reason = failure.toString(), extra = mapOf("where" to where, "place" to place)))
}

/** Delay before failed work is restarted, so that a persistent error does not fill the log. */
private const val RESTART_DELAY_MS = 500L
