package org.almondjunction.decisions

/** What a caller presented as its API key, without the key itself. */
public sealed class PresentedKey<out T> {
    /** No key, several keys, or a text that cannot be a key. */
    public data object Unusable : PresentedKey<Nothing>()

    /** A key that no tenant holds in the configuration in force. */
    public data object Unknown : PresentedKey<Nothing>()

    /** A key that [tenant] holds in the configuration in force. */
    public data class Held<T>(
        val tenant: T,
    ) : PresentedKey<T>()

    public companion object {
        /** Longer keys are refused without a look-up. */
        public const val MAXIMUM_KEY_CHARACTERS: Int = 256

        private val PRINTABLE_ASCII = ' '..'~'

        /** Classifies the [values] of the key header, one for each header line; [holder] returns the tenant that holds a key. */
        public fun <T : Any> of(
            values: List<String>,
            holder: (String) -> T?,
        ): PresentedKey<T> {
            val key = values.singleOrNull() ?: return Unusable
            if (key.isEmpty() || key.length > MAXIMUM_KEY_CHARACTERS || key.any { it !in PRINTABLE_ASCII }) return Unusable
            return holder(key)?.let { Held(it) } ?: Unknown
        }
    }
}
