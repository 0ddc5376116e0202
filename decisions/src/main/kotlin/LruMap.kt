package org.almondjunction.decisions

/** A map of up to [maximumEntries] entries, which evicts the least recently used one. */
internal class LruMap<K, V>(
    private val maximumEntries: Int,
) : LinkedHashMap<K, V>(INITIAL_ENTRIES, LOAD_FACTOR, true) {
    override fun removeEldestEntry(eldest: Map.Entry<K, V>): Boolean = size > maximumEntries

    private companion object {
        const val INITIAL_ENTRIES = 64
        const val LOAD_FACTOR = 0.75f
    }
}
