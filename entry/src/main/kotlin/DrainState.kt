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

    /** Whether new requests are refused. */
    val refusing: Boolean get() = refusal.isCompleted

    /** Whether anything is in progress for which a stop must wait. */
    val busy: Boolean get() = works.get() > 0

    /** Begins to refuse requests. */
    fun refuse() {
        refusal.complete(Unit)
    }

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
