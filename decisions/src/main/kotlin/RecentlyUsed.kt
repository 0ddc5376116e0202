package org.almondjunction.decisions

/** A map of [most] entries at most, which forgets the least recently used one. */
internal class RecentlyUsed<K, V>(
    private val most: Int,
) : LinkedHashMap<K, V>(INITIAL_ENTRIES, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: Map.Entry<K, V>): Boolean = size > most

    private companion object {
        const val INITIAL_ENTRIES = 64
        const val LOAD_FACTOR = 0.75f
    }
}
