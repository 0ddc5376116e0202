package org.almondjunction.entry

import java.util.concurrent.atomic.AtomicInteger

/** How far a graceful stop is, and how many requests are in progress. */
internal class DrainState {
    private val requests = AtomicInteger()

    /** Whether a stop was requested, so that this process reports itself as not ready. */
    @Volatile
    var leaving: Boolean = false

    /** Whether new requests are refused. */
    @Volatile
    var refusing: Boolean = false

    /** Requests in progress. */
    val inProgress: Int get() = requests.get()

    /** Counts a request in; returns false when it must be refused. */
    fun enter(): Boolean {
        requests.incrementAndGet()
        if (!refusing) return true
        requests.decrementAndGet()
        return false
    }

    /** Counts a request out. */
    fun exit() {
        requests.decrementAndGet()
    }
}
