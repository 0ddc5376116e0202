package org.almondjunction.keeper

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.almondjunction.common.SystemClock
import kotlin.test.Test
import kotlin.test.assertEquals

class CrashLogStorageTest {
    private class FakeStore : CrashStore {
        var stored = emptyList<EngineCrash>()
        var writes = 0
        var failures = 0

        override suspend fun read(): List<EngineCrash>? = if (failures-- > 0) null else stored

        override suspend fun write(crashes: List<EngineCrash>): Boolean {
            if (failures-- > 0) return false
            writes++
            stored = crashes
            return true
        }
    }

    private val store = FakeStore()

    private suspend fun await(condition: () -> Boolean): Unit = withTimeout(TIMEOUT_MS) { while (!condition()) delay(1) }

    private fun crash(
        startedMs: Long,
        part: Long,
    ) = EngineCrash(startedMs, ageMs = 5_000, listOf(PromptPart(part, position = 1, last = false)))

    private fun CrashLog.parts() = all(SystemClock.nowMs()).associate { crash -> crash.startedMs to crash.parts.map { it.part } }

    // Guards against prompt parts that crash engines again because all gateways and keepers were lost at once.
    @Test
    fun `the crashes of an engine outlive all processes`() {
        for (failures in listOf(0, 3)) {
            store.stored = emptyList()
            inProcess { log, storage ->
                store.failures = failures
                log.restore(listOf(crash(1, part = 7), crash(2, part = 7)), SystemClock.nowMs())
                storage.schedule()
                await { store.stored.size == 2 }
            }
            store.failures = failures
            inProcess { log, _ ->
                await { log.version > 0 }
                assertEquals(mapOf(1L to listOf(7L), 2L to listOf(7L)), log.parts(), "$failures failed calls")
            }
        }
    }

    @Test
    fun `parts that answers have cleared and crashes before the first answer of the store are stored`() {
        store.stored = listOf(crash(1, part = 7), crash(2, part = 8))
        store.failures = 1
        inProcess { log, storage ->
            log.restore(listOf(crash(3, part = 9)), SystemClock.nowMs())
            storage.schedule()
            await { store.stored.size == 3 }
            log.exonerate(listOf(AnsweredPart(8, ageMs = 0)), SystemClock.nowMs())
            storage.schedule()
            await { store.stored.map { it.startedMs } == listOf(1L, 3L) }
        }
    }

    @Test
    fun `a log that was only restored is not written`() {
        store.stored = listOf(crash(1, part = 7))
        inProcess { log, storage ->
            await { log.version > 0 }
            storage.schedule()
            delay(SETTLE_MS)
        }
        assertEquals(0, store.writes)
    }

    /** Runs [test] with the storage of an empty log, as in a process that has just started. */
    private fun inProcess(test: suspend (CrashLog, CrashLogStorage) -> Unit): Unit =
        runBlocking {
            val log = CrashLog()
            val storage = CrashLogStorage(SystemClock, log, store, writeDelayMs = 1, retryMs = 1) {}
            val running = launch { storage.run() }
            test(log, storage)
            running.cancel()
        }

    private companion object {
        const val TIMEOUT_MS = 20_000L
        const val SETTLE_MS = 50L
    }
}
