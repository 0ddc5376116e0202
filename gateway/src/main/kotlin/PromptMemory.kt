package org.almondjunction.gateway

/** A part of a prompt that requests may share. */
public data class PromptPart(
    val id: String,
    val tokens: Long,
)

/** Estimate of the prompt parts in a target's cache, from the prompts that this gateway sent; drops the least recently used parts. */
internal class PromptMemory(
    private val capacityTokens: Long,
) {
    private val kept = LinkedHashMap<String, Long>(INITIAL_PARTS, LOAD_FACTOR, true)
    private var total = 0L

    /** Returns the number of leading tokens of a prompt for [weights] that are expected in the cache. */
    fun keptTokens(
        weights: String,
        parts: List<PromptPart>,
    ): Long {
        var tokens = 0L
        chain(weights, parts) { key, part ->
            if (kept[key] == null) return tokens
            tokens += part.tokens
        }
        return tokens
    }

    fun add(
        weights: String,
        parts: List<PromptPart>,
    ) {
        chain(weights, parts) { key, part ->
            val before = kept.put(key, part.tokens)
            total += part.tokens - (before ?: 0)
        }
        val oldest = kept.entries.iterator()
        while (total > capacityTokens && oldest.hasNext()) {
            total -= oldest.next().value
            oldest.remove()
        }
    }

    fun forget(model: String) {
        val gone = kept.keys.filter { it.startsWith("$model/") || it.startsWith("$model|") }
        gone.forEach { total -= kept.remove(it) ?: 0 }
    }

    private inline fun chain(
        weights: String,
        parts: List<PromptPart>,
        use: (String, PromptPart) -> Unit,
    ) {
        var key = "$weights|"
        parts.forEach { part ->
            key += part.id + ","
            use(key, part)
        }
    }

    private companion object {
        const val INITIAL_PARTS = 64
        const val LOAD_FACTOR = 0.75f
    }
}
