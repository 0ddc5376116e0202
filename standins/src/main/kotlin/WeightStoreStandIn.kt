package org.almondjunction.standins

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Stand-in of the rate-limited weight store, shared by the engines of one process.
 *
 * @param loadsPerSecond checkpoints that the store delivers per second under full load
 * @param slowdown factor on the duration of every read; 1.0 is normal speed
 */
public class WeightStoreStandIn(
    private val loadsPerSecond: Double,
    @Volatile public var slowdown: Double = 1.0,
) {
    private val checkpointReads = Semaphore(CONCURRENT_CHECKPOINT_READS)
    private val adapterReads = AtomicInteger()
    private val delivered = AtomicLong()

    /** Checkpoints delivered so far. */
    public val deliveredCheckpoints: Long get() = delivered.get()

    /** Suspends while a checkpoint is read. */
    public suspend fun readCheckpoint() {
        checkpointReads.withPermit { delay((MILLISECONDS_PER_SECOND * CONCURRENT_CHECKPOINT_READS / loadsPerSecond * slowdown).toLong()) }
        delivered.incrementAndGet()
    }

    /** Suspends while an adapter is read; beyond [FULL_SPEED_ADAPTER_READS] concurrent reads, the time grows in proportion to them. */
    public suspend fun readAdapter() {
        val concurrentReads = adapterReads.incrementAndGet()
        try {
            delay((ADAPTER_READ_MS * maxOf(1.0, concurrentReads / FULL_SPEED_ADAPTER_READS.toDouble()) * slowdown).toLong())
        } finally {
            adapterReads.decrementAndGet()
        }
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000
        const val CONCURRENT_CHECKPOINT_READS = 4
        const val FULL_SPEED_ADAPTER_READS = 32
        const val ADAPTER_READ_MS = 5
    }
}
