package org.almondjunction.decisions

/** Where a stream may go on that a caller takes up with a new request. */
public sealed class StreamContinuation {
    /** At any target. */
    public data object AnyTarget : StreamContinuation()

    /** Only at targets of [version], which began it. */
    public data class SameVersion(
        val version: SoftwareVersion,
    ) : StreamContinuation()

    /** Nowhere: targets of several versions are listed, and it is not known which of them began it. */
    public data object Impossible : StreamContinuation()

    public companion object {
        /** Decides by the version of its [origin], null if that is unknown, and the [listed] versions of its service. */
        public fun of(
            origin: SoftwareVersion?,
            listed: Set<SoftwareVersion>,
        ): StreamContinuation =
            when {
                origin != null -> SameVersion(origin)
                listed.size > 1 -> Impossible
                else -> AnyTarget
            }
    }
}
