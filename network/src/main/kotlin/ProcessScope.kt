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

/** Returns a scope whose coroutines run on [loop]; an unexpected error in one of them is logged, told to [onFailure], and ends that one alone. */
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

/** Runs [work], which does not end by itself, and again [RESTART_MS] after each unexpected error in it. */
public fun CoroutineScope.launchAlways(
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
            delay(RESTART_MS)
        }
    }

/** Tells of [failure]; where even that fails, as without memory, the process goes on and tells the next one. */
internal fun logUnexpected(
    where: String,
    failure: Throwable,
) {
    try {
        writeUnexpected(where, failure)
    } catch (unwritten: Throwable) {
        failure.addSuppressed(unwritten)
    }
}

private fun writeUnexpected(
    where: String,
    failure: Throwable,
) {
    val place = failure.stackTrace.firstOrNull()?.toString()
    EventLog.error("unexpected error", LogFields(reason = failure.toString(), extra = mapOf("where" to where, "place" to place)))
}

/** Pause before work that failed unexpectedly begins again, so that a lasting cause does not fill the log. */
private const val RESTART_MS = 500L
