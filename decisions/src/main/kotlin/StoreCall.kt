package org.almondjunction.decisions

/** A call to the platform's object store, requested by decisions that make no calls themselves. */
public sealed class StoreCall {
    /** Key of the object. */
    public abstract val key: String

    /** Reads one object. */
    public data class Read(
        override val key: String,
    ) : StoreCall()

    /** Writes an object only if it does not exist. */
    public data class Create(
        override val key: String,
        val value: String,
    ) : StoreCall()

    /** Writes an object only if it still has [version]. */
    public data class Replace(
        override val key: String,
        val value: String,
        val version: Long,
    ) : StoreCall()
}

/** Result of a [StoreCall]. */
public sealed class StoreReply {
    /** The object as read. */
    public data class Found(
        val value: String,
        val version: Long,
    ) : StoreReply()

    /** The object does not exist. */
    public data object Absent : StoreReply()

    /** The write took effect; the object has [version] now. */
    public data class Written(
        val version: Long,
    ) : StoreReply()

    /** The write's condition did not hold, so nothing was written. */
    public data object Conflict : StoreReply()

    /** No usable reply arrived; a write may have taken effect. */
    public data object Lost : StoreReply()
}
