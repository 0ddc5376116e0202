package org.almondjunction.decisions

/**
 * Highest era of the store that a process has seen.
 *
 * The era rises each time the store comes back from an older copy. A revision is valid only in the era in which it was read.
 */
public class StoreEra {
    /** The highest era seen; null until an answer has named one. */
    public var current: Long? = null
        private set

    /** Records the [era] of an answer; null if the answer does not name one. */
    public fun observe(era: Long?): Observation {
        val known = current
        return when {
            era == null || era == known -> Observation.CURRENT
            known != null && era < known -> Observation.OUTDATED
            else -> {
                current = era
                if (known == null) Observation.CURRENT else Observation.RISEN
            }
        }
    }

    /** What the era of an answer means for it. */
    public enum class Observation {
        /** The answer is of the highest era seen. */
        CURRENT,

        /** The answer is the first one of a new era; nothing that was read before may be used in a call. */
        RISEN,

        /** The answer is of an earlier era and must be ignored. */
        OUTDATED,
    }
}
