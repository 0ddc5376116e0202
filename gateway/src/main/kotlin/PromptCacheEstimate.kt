package org.almondjunction.gateway

/**
 * Estimate of the prompt parts in a target's cache, from the prompts that this gateway sent; drops the least recently used parts.
 *
 * @param maximumParts limit for the parts of this estimate, which bounds its memory; read at each use
 */
internal class PromptCacheEstimate(
    private val capacityTokens: Long,
    private val maximumParts: () -> Int,
) {
    private class CachedPart(
        val weights: String,
        val tokens: Int,
    )

    private val cached = LinkedHashMap<Long, CachedPart>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var totalTokens = 0L

    /** Number of parts in the estimate. */
    val size: Int get() = cached.size

    /** Returns the number of leading tokens of a prompt for [weights] that are expected in the cache. */
    fun cachedTokens(
        weights: String,
        parts: PromptParts,
    ): Long {
        var tokens = 0L
        for (index in 0 until parts.size) {
            if (key(weights, parts, index) !in cached) break
            tokens += parts.tokens(index)
        }
        return tokens
    }

    /** Adds the [parts] of a prompt for [weights]; of a prompt with too many parts only the first ones. */
    fun add(
        weights: String,
        parts: PromptParts,
    ) {
        val limit = maximumParts()
        for (index in 0 until minOf(parts.size, limit)) {
            val part = CachedPart(weights, parts.tokens(index))
            val before = cached.put(key(weights, parts, index), part)
            totalTokens += part.tokens - (before?.tokens ?: 0)
        }
        val oldest = cached.entries.iterator()
        while ((totalTokens > capacityTokens || cached.size > limit) && oldest.hasNext()) {
            totalTokens -= oldest.next().value.tokens
            oldest.remove()
        }
    }

    /** Removes the parts of [model] and its adapters. */
    fun remove(model: String) {
        val parts = cached.values.iterator()
        while (parts.hasNext()) {
            val part = parts.next()
            if (part.weights.substringBefore('/') != model) continue
            totalTokens -= part.tokens
            parts.remove()
        }
    }

    private fun key(
        weights: String,
        parts: PromptParts,
        index: Int,
    ): Long = parts.prefix(index) xor (weights.hashCode().toLong() shl Int.SIZE_BITS)

    companion object {
        /** Memory of a part: its key, the part itself and the entry that holds both, rounded up. */
        const val PART_BYTES = 128
        private const val INITIAL_PARTS = 64
        private const val LOAD_FACTOR = 0.75f
    }
}
