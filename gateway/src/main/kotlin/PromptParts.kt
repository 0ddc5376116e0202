package org.almondjunction.gateway

import org.almondjunction.decisions.SuspectPart

/**
 * The parts of a prompt that requests may share, in order.
 *
 * Only the size of each part and hashes are kept, so the memory is in proportion to the number of parts.
 */
internal class PromptParts private constructor(
    /** Hashes of the first parts that other requests may share, wherever these stand in a prompt; never of the request's own last part. */
    val shared: List<Long>,
    /** The request's own last part, wherever it stands; null if the list of parts is malformed. */
    val last: SuspectPart?,
    private val prefixes: LongArray,
    private val tokens: IntArray,
    val size: Int,
) {
    /** Hashes of [shared] and [last]. */
    val suspectable: List<Long> = shared + listOfNotNull(last?.part)

    /** Returns the hash of the parts up to and including [index]. */
    fun prefix(index: Int): Long = prefixes[index]

    /** Returns the number of tokens of the part at [index]. */
    fun tokens(index: Int): Int = tokens[index]

    /** Returns a key that prompts share whose first [count] parts are the same. */
    fun sharedKey(count: Int): String = if (size == 0) "" else prefixes[minOf(count, size) - 1].toString()

    companion object {
        val NONE = PromptParts(emptyList(), null, LongArray(0), IntArray(0), 0)

        /** Reads a list of `ID:TOKENS`; a malformed part ends it, since the parts after it cannot be shared either. */
        fun parse(text: String): PromptParts {
            if (text.isBlank()) return NONE
            val maximumParts = text.count { it == ',' } + 1
            val identities = mutableListOf<Long>()
            val prefixes = LongArray(maximumParts)
            val tokens = IntArray(maximumParts)
            var size = 0
            var hash = HASH_START
            var last: SuspectPart? = null
            for (item in text.splitToSequence(',')) {
                val count = item.substringAfter(':', "").trim()
                val partTokens = count.toIntOrNull()?.takeIf { it >= 0 } ?: return of(identities, null, prefixes, tokens, size)
                val id = item.substringBefore(':').trim()
                hash = combine(hash, id)
                val identity = combine(HASH_START, id)
                if (size < MAXIMUM_SHARED_PARTS) identities += identity
                last = SuspectPart(identity, size, last = true)
                prefixes[size] = hash
                tokens[size] = partTokens
                size++
            }
            return of(identities, last, prefixes, tokens, size)
        }

        private fun of(
            identities: List<Long>,
            last: SuspectPart?,
            prefixes: LongArray,
            tokens: IntArray,
            size: Int,
        ) = PromptParts(identities.take((size - 1).coerceAtLeast(0)), last, prefixes, tokens, size)

        /** Continues the 64-bit FNV-1a hash of the parts before with the identity of the next part. */
        private fun combine(
            before: Long,
            id: String,
        ): Long {
            var hash = before
            for (character in id) hash = (hash xor character.code.toLong()) * HASH_PRIME
            return (hash xor PART_END) * HASH_PRIME
        }

        /** Bounds the memory and time that each part takes by itself; prompts have few parts that other requests share. */
        private const val MAXIMUM_SHARED_PARTS = 64
        private const val HASH_START = -0x340d631b7bdddcdbL
        private const val HASH_PRIME = 0x100000001b3L
        private const val PART_END = 0x100L
    }
}
