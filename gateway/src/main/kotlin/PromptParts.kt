package org.almondjunction.gateway

/**
 * The parts of a prompt that requests may share, in order.
 *
 * Only the size of each part, a hash of it and a hash of all parts up to it are kept, so the memory is in proportion to the number of
 * parts.
 */
internal class PromptParts private constructor(
    private val identities: LongArray,
    private val prefixes: LongArray,
    private val tokens: IntArray,
    val size: Int,
) {
    /** Returns the hash of the parts up to and including [index]. */
    fun prefix(index: Int): Long = prefixes[index]

    /** Hashes of the parts that other requests may share, wherever these parts stand in a prompt; without the request's own last part. */
    val shared: List<Long> get() = identities.take((size - 1).coerceAtLeast(0))

    /** Returns the number of tokens of the part at [index]. */
    fun tokens(index: Int): Int = tokens[index]

    /** Returns a key that prompts share whose first [count] parts are the same. */
    fun sharedKey(count: Int): String = if (size == 0) "" else prefixes[minOf(count, size) - 1].toString()

    companion object {
        val NONE = PromptParts(LongArray(0), LongArray(0), IntArray(0), 0)

        /** Reads a list of `ID:TOKENS`; a malformed part ends it, since the parts after it cannot be shared either. */
        fun parse(text: String): PromptParts {
            if (text.isBlank()) return NONE
            val maximumParts = text.count { it == ',' } + 1
            val identities = LongArray(maximumParts)
            val prefixes = LongArray(maximumParts)
            val tokens = IntArray(maximumParts)
            var size = 0
            var hash = HASH_START
            for (item in text.splitToSequence(',')) {
                val count = item.substringAfter(':', "").trim()
                val partTokens = count.toIntOrNull()?.takeIf { it >= 0 } ?: break
                val id = item.substringBefore(':').trim()
                hash = combine(hash, id)
                identities[size] = combine(HASH_START, id)
                prefixes[size] = hash
                tokens[size] = partTokens
                size++
            }
            return PromptParts(identities, prefixes, tokens, size)
        }

        /** Continues the 64-bit FNV-1a hash of the parts before with the identity of the next part. */
        private fun combine(
            before: Long,
            id: String,
        ): Long {
            var hash = before
            for (character in id) hash = (hash xor character.code.toLong()) * HASH_PRIME
            return (hash xor PART_END) * HASH_PRIME
        }

        private const val HASH_START = -0x340d631b7bdddcdbL
        private const val HASH_PRIME = 0x100000001b3L
        private const val PART_END = 0x100L
    }
}
