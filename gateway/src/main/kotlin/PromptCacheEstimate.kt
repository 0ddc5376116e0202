package org.almondjunction.gateway

/** A part of a prompt that requests may share. */
public data class PromptPart(
    val id: String,
    val tokens: Long,
)

/** Estimate of the prompt parts in a target's cache, from the prompts that this gateway sent; drops the least recently used parts. */
internal class PromptCacheEstimate(
    private val capacityTokens: Long,
) {
    private val cached = LinkedHashMap<String, Long>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var totalTokens = 0L

    /** Returns the number of leading tokens of a prompt for [weights] that are expected in the cache. */
    fun cachedTokens(
        weights: String,
        parts: List<PromptPart>,
    ): Long {
        var tokens = 0L
        forEachPrefix(weights, parts) { key, part ->
            if (cached[key] == null) return tokens
            tokens += part.tokens
        }
        return tokens
    }

    fun add(
        weights: String,
        parts: List<PromptPart>,
    ) {
        forEachPrefix(weights, parts) { key, part ->
            val before = cached.put(key, part.tokens)
            totalTokens += part.tokens - (before ?: 0)
        }
        val oldest = cached.entries.iterator()
        while (totalTokens > capacityTokens && oldest.hasNext()) {
            totalTokens -= oldest.next().value
            oldest.remove()
        }
    }

    fun remove(model: String) {
        val removed = cached.keys.filter { it.startsWith("$model/") || it.startsWith("$model|") }
        removed.forEach { totalTokens -= cached.remove(it) ?: 0 }
    }

    private inline fun forEachPrefix(
        weights: String,
        parts: List<PromptPart>,
        action: (String, PromptPart) -> Unit,
    ) {
        var key = "$weights|"
        parts.forEach { part ->
            key += part.id + ","
            action(key, part)
        }
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
