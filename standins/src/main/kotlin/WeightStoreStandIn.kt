package org.almondjunction.standins

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Stand-in of the rate-limited weight store, shared by the engines of one process.
 *
 * @param loadsPerSecond checkpoints that the store delivers in a second when it is busy
 * @param slowdown factor by which every load takes longer
 */
public class WeightStoreStandIn(
    private val loadsPerSecond: Double,
    @Volatile public var slowdown: Double = 1.0,
) {
    private val slots = Semaphore(FULL_SPEED_LOADS)
    private val adapters = AtomicInteger()
    private val loads = AtomicLong()

    /** Checkpoints delivered so far. */
    public val deliveredLoads: Long get() = loads.get()

    /** Suspends while a checkpoint is read. */
    public suspend fun readCheckpoint() {
        slots.withPermit { delay((MILLISECONDS_PER_SECOND * FULL_SPEED_LOADS / loadsPerSecond * slowdown).toLong()) }
        loads.incrementAndGet()
    }

    /** Suspends while an adapter is read; beyond the full-speed limit it takes proportionally longer. */
    public suspend fun readAdapter() {
        val inFlight = adapters.incrementAndGet()
        try {
            delay((ADAPTER_MS * maxOf(1.0, inFlight / FULL_SPEED_ADAPTERS.toDouble()) * slowdown).toLong())
        } finally {
            adapters.decrementAndGet()
        }
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000
        const val FULL_SPEED_LOADS = 4
        const val FULL_SPEED_ADAPTERS = 32
        const val ADAPTER_MS = 5
    }
}
