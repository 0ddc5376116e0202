package org.almondjunction.decisions

import org.apache.commons.codec.digest.MurmurHash3

/** Hash that is the same in every process and version. */
internal object StableHash {
    fun of(vararg parts: String): Long = MurmurHash3.hash128x64(parts.joinToString("\u0000").encodeToByteArray())[0]
}

/** Orders candidates for a key by rendezvous hashing: added and removed candidates do not change the order of the others. */
public object Rendezvous {
    /** Returns [candidates] in their order for [key]. */
    public fun <T> order(
        key: String,
        candidates: Collection<T>,
        identity: (T) -> String,
    ): List<T> = candidates.sortedWith(compareByDescending<T> { StableHash.of(key, identity(it)) }.thenBy(identity))

    /** Returns the score of [identity] for [key], from 0 until 1. */
    public fun score(
        key: String,
        identity: String,
    ): Double = (StableHash.of(key, identity) ushr UNUSED_BITS) / DISTINCT_SCORES

    private const val UNUSED_BITS = 11
    private const val DISTINCT_SCORES = 9.007199254740992E15
}
