package org.almondjunction.keeper

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields

/**
 * Keeps [log] in [store]: gateways and keepers restore each other's knowledge, but not after the loss of all processes at once.
 *
 * @param onRestored called when crashes were restored from the store
 * @param writeDelayMs time in which changes are gathered before a write, in milliseconds
 * @param retryMs time after a call without success until the next one, in milliseconds
 */
internal class CrashLogStorage(
    private val clock: Clock,
    private val log: CrashLog,
    private val store: CrashStore,
    private val writeDelayMs: Long = WRITE_DELAY_MS,
    private val retryMs: Long = RETRY_MS,
    private val onRestored: () -> Unit,
) {
    private val changes = Channel<Unit>(Channel.CONFLATED)

    /** Must be called after each change of the log. */
    fun schedule() {
        changes.trySend(Unit)
    }

    /** Restores the log, and then writes each change of it; does not return. */
    suspend fun run() {
        var storedVersion = restore()
        while (true) {
            while (log.version == storedVersion) changes.receive()
            delay(writeDelayMs)
            val version = log.version
            if (store.write(log.all(clock.nowMs()))) storedVersion = version else delay(retryMs)
        }
    }

    /** Adds the stored crashes to the log; returns the version of the log that is stored. */
    private suspend fun restore(): Int {
        while (true) {
            val stored = store.read()
            if (stored != null) return restore(stored)
            delay(retryMs)
        }
    }

    private fun restore(stored: List<EngineCrash>): Int {
        val before = log.version
        log.restore(stored, clock.nowMs())
        if (log.version == before) return UNCHANGED
        EventLog.info("crashes of the engine restored", LogFields(extra = mapOf("crashes" to stored.size.toString())))
        onRestored()
        return if (before == UNCHANGED) log.version else before
    }

    private companion object {
        /** Version of a log without changes. */
        const val UNCHANGED = 0

        /** The reports of one crash arrive from all gateways within less than that. */
        const val WRITE_DELAY_MS = 500L

        /** Calls to a store that does not answer are rare enough not to matter to it. */
        const val RETRY_MS = 2_000L
    }
}
