package org.almondjunction.decisions

/** Decides how long an idle model stays loaded. */
public sealed class ResidencyPolicy {
    /** Returns how long a model stays after its last request, in milliseconds. */
    public abstract fun keepMs(
        history: ArrivalHistory?,
        loadMs: Long,
    ): Long

    /** Keeps every model for the same time. */
    public data class FixedIdleTime(
        val idleMs: Long,
    ) : ResidencyPolicy() {
        override fun keepMs(
            history: ArrivalHistory?,
            loadMs: Long,
        ): Long = idleMs
    }

    /**
     * Keeps a model until its idle time has cost as much as one cold start.
     *
     * @property idleMsPerColdMs milliseconds of idle accelerator time that are worth one millisecond of cold-start time
     * @property maximumKeepMs longest idle time in any case, so that eviction of idle models is ensured
     */
    public data class BreakEven(
        val idleMsPerColdMs: Double,
        val maximumKeepMs: Long = 6 * 3_600_000L,
    ) : ResidencyPolicy() {
        override fun keepMs(
            history: ArrivalHistory?,
            loadMs: Long,
        ): Long = minOf(maximumKeepMs, (loadMs * idleMsPerColdMs).toLong())
    }
}
