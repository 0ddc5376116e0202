package org.almondjunction.decisions

/** A call to the store that a [QuotaLease] wants to make. */
public sealed class LeaseCall {
    /** Reads the lease. */
    public data object Read : LeaseCall()

    /** Writes [record] if the lease still has [revision]; if that is null, only if there is no lease. */
    public data class Write(
        val record: LeaseRecord,
        val revision: Long?,
    ) : LeaseCall()
}

/** Answer of the store to a [LeaseCall]. */
public sealed class LeaseAnswer {
    /** Number that rises each time the store comes back from an older copy; null if no answer came. */
    public abstract val era: Long?

    /** The lease as read or written; the record is null if it cannot be decoded. */
    public data class Found(
        val record: LeaseRecord?,
        val revision: Long,
        override val era: Long,
    ) : LeaseAnswer()

    /** There is no lease. */
    public data class Missing(
        override val era: Long,
    ) : LeaseAnswer()

    /** The condition of a write did not hold. */
    public data class Conflict(
        override val era: Long,
    ) : LeaseAnswer()

    /** No usable answer; a write may have been carried out, or may be carried out later. */
    public data object Lost : LeaseAnswer() {
        override val era: Long? get() = null
    }
}
