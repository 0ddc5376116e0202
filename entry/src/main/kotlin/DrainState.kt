package org.almondjunction.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import java.util.concurrent.atomic.AtomicInteger

/** Progress of a graceful stop, and the number of operations that it waits for. */
internal class DrainState {
    private val inProgress = AtomicInteger()

    /** Whether a stop was requested; from then on this process reports itself as not ready. */
    @Volatile
    var stopRequested: Boolean = false

    private val refusalSignal = CompletableDeferred<Unit>()
    private val endSignal = CompletableDeferred<Unit>()

    /** Whether new requests are refused. */
    val refusing: Boolean get() = refusalSignal.isCompleted

    /** Completes when requests in progress must end. */
    val endRequested: Deferred<Unit> get() = endSignal

    /** Whether any operation is in progress that a graceful stop waits for. */
    val busy: Boolean get() = inProgress.get() > 0

    /** Refuses new requests from now on. */
    fun refuse() {
        refusalSignal.complete(Unit)
    }

    /** Ends the requests in progress: each is answered at once with its outcome as far as it is known. */
    fun end() {
        endSignal.complete(Unit)
    }

    /** Runs [work]; returns null when requests in progress must end before it completes. */
    suspend fun <T : Any> runUntilEnd(work: suspend () -> T): T? = runUntil(endSignal, work)

    /** Runs [work]; returns null when requests begin to be refused before it completes. */
    suspend fun <T : Any> runUntilRefusing(work: suspend () -> T): T? = runUntil(refusalSignal, work)

    private suspend fun <T : Any> runUntil(
        signal: Deferred<Unit>,
        work: suspend () -> T,
    ): T? =
        coroutineScope {
            val result = async { work() }
            select {
                result.onAwait { it }
                signal.onAwait { null.also { result.cancel() } }
            }
        }

    /** Runs [work] as an operation that a graceful stop waits for. */
    suspend fun <T> track(work: suspend () -> T): T {
        inProgress.incrementAndGet()
        return try {
            work()
        } finally {
            inProgress.decrementAndGet()
        }
    }
}
