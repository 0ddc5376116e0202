package org.almondjunction.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import java.util.concurrent.atomic.AtomicInteger

/** How far a graceful stop is, and how much this process still owes. */
internal class DrainState {
    private val works = AtomicInteger()

    /** Whether a stop was requested, so that this process reports itself as not ready. */
    @Volatile
    var leaving: Boolean = false

    private val refusal = CompletableDeferred<Unit>()
    private val end = CompletableDeferred<Unit>()

    /** Whether new requests are refused. */
    val refusing: Boolean get() = refusal.isCompleted

    /** Completes when requests in progress must end. */
    val ended: Deferred<Unit> get() = end

    /** Whether anything is in progress for which a stop must wait. */
    val busy: Boolean get() = works.get() > 0

    /** Begins to refuse requests. */
    fun refuse() {
        refusal.complete(Unit)
    }

    /** Ends the requests in progress: each is told at once what is known of it. */
    fun end() {
        end.complete(Unit)
    }

    /** Runs [work]; returns null when requests in progress must end before it has ended. */
    suspend fun <T : Any> beforeEnd(work: suspend () -> T): T? = before(end, work)

    /** Runs [work]; returns null when requests begin to be refused before it has ended. */
    suspend fun <T : Any> beforeRefusing(work: suspend () -> T): T? = before(refusal, work)

    private suspend fun <T : Any> before(
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

    /** Runs [work], for which a graceful stop waits. */
    suspend fun <T> during(work: suspend () -> T): T {
        works.incrementAndGet()
        return try {
            work()
        } finally {
            works.decrementAndGet()
        }
    }
}
