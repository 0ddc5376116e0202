package org.almondjunction.common

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse

/**
 * Reads a TOML document key by key and collects every fault instead of stopping at the first.
 *
 * A getter that finds a fault records it and returns a placeholder value; [read] discards the result when any fault was recorded.
 */
public class DocumentReader private constructor(
    private val file: String,
    private val table: DocumentNode.Table,
    private val faults: MutableList<Fault>,
    private val unknownKeys: UnknownKeys,
) {
    private val requestedKeys = mutableSetOf<String>()

    /** Records [message] as a fault at [key]. */
    public fun fault(
        key: String,
        message: String,
    ) {
        faults += Fault(file, (table.entries[key]?.line ?: table.line).takeIf { it > 0 }, path(key), message)
    }

    /** Reads a string; without [default] the key is required. */
    public fun string(
        key: String,
        default: String? = null,
    ): String = scalar(key, default, "a string") { it as? String } ?: ""

    /** Reads a whole number within [range]; without [default] the key is required. */
    public fun long(
        key: String,
        default: Long? = null,
        range: LongRange = 0..Long.MAX_VALUE,
    ): Long {
        val value =
            scalar(key, default, "a whole number") { (it as? Number)?.takeUnless { number -> number is Double }?.toLong() }
                ?: return range.first
        if (value !in range) fault(key, "Found $value; expected a whole number from ${range.first} to ${range.last}.")
        return value
    }

    /** Reads a whole number within [range]; without [default] the key is required. */
    public fun int(
        key: String,
        default: Int? = null,
        range: IntRange = 0..Int.MAX_VALUE,
    ): Int = long(key, default?.toLong(), range.first.toLong()..range.last.toLong()).toInt()

    /** Reads a number within [range]; without [default] the key is required. */
    public fun double(
        key: String,
        default: Double? = null,
        range: ClosedFloatingPointRange<Double>,
    ): Double {
        val value = scalar(key, default, "a number") { (it as? Number)?.toDouble() } ?: return range.start
        if (value !in range) fault(key, "Found $value; expected a number from ${range.start} to ${range.endInclusive}.")
        return value
    }

    /** Reads a Boolean; without [default] the key is required. */
    public fun boolean(
        key: String,
        default: Boolean? = null,
    ): Boolean = scalar(key, default, "true or false") { it as? Boolean } ?: false

    /** Reads an address written as an IP address and a port; without [default] the key is required. */
    public fun address(
        key: String,
        default: Address? = null,
    ): Address {
        val text = string(key, default?.toString())
        return Address.parse(text) ?: PLACEHOLDER_ADDRESS.also {
            if (key in table.entries) {
                fault(key, "Found \"$text\"; expected an IP address and a port from 1 to 65535, such as \"127.0.0.1:8080\".")
            }
        }
    }

    /** Reads an array of strings; a missing key is an empty list. */
    public fun strings(key: String): List<String> {
        requestedKeys += key
        return when (val node = table.entries[key]) {
            null -> emptyList()
            is DocumentNode.Sequence -> node.values.map { it as? String ?: "".also { fault(key, "Found a value that is not a string.") } }
            is DocumentNode.Scalar, is DocumentNode.Table, is DocumentNode.TableArray ->
                emptyList<String>().also {
                    fault(key, "Expected an array of strings.")
                }
        }
    }

    /** Reads an array of whole numbers; a missing key is an empty list. */
    public fun longs(key: String): List<Long> {
        requestedKeys += key
        val node = table.entries[key] ?: return emptyList()
        val values = (node as? DocumentNode.Sequence)?.values?.map { it as? Long }
        if (values != null && null !in values) return values.filterNotNull()
        return emptyList<Long>().also { fault(key, "Found ${describe(node)}; expected an array of whole numbers.") }
    }

    /** Reads a table with arbitrary keys and string values; a missing key is an empty map. */
    public fun stringTable(key: String): Map<String, String> {
        requestedKeys += key
        val node = table.entries[key] ?: return emptyMap()
        val entries = (node as? DocumentNode.Table)?.entries?.mapValues { (it.value as? DocumentNode.Scalar)?.value as? String }
        if (entries != null && null !in entries.values) return entries.mapValues { it.value.orEmpty() }
        return emptyMap<String, String>().also { fault(key, "Found ${describe(node)}; expected a table of strings.") }
    }

    /** Reads the array of tables at [key] with [read] for each element; a missing key is an empty list. */
    public fun <T> tables(
        key: String,
        read: DocumentReader.() -> T,
    ): List<T> {
        requestedKeys += key
        return when (val node = table.entries[key]) {
            null -> emptyList()
            is DocumentNode.TableArray -> node.elements.map { nested(it, read) }
            is DocumentNode.Scalar, is DocumentNode.Sequence, is DocumentNode.Table ->
                emptyList<T>().also { fault(key, "Expected an array of tables, written as [[${path(key)}]].") }
        }
    }

    /** Reads the table at [key] with [read]; a missing table is read as empty. */
    public fun <T> table(
        key: String,
        read: DocumentReader.() -> T,
    ): T {
        requestedKeys += key
        return when (val node = table.entries[key]) {
            is DocumentNode.Table -> nested(node, read)
            null -> nested(DocumentNode.Table(path(key), table.line, emptyMap()), read)
            is DocumentNode.Scalar, is DocumentNode.Sequence, is DocumentNode.TableArray -> {
                fault(key, "Expected a table, written as [${path(key)}].")
                nested(DocumentNode.Table(path(key), node.line, emptyMap()), read)
            }
        }
    }

    private fun <T> nested(
        node: DocumentNode.Table,
        read: DocumentReader.() -> T,
    ): T = DocumentReader(file, node, faults, unknownKeys).run { read().also { reportUnknownKeys() } }

    private fun <T : Any> scalar(
        key: String,
        default: T?,
        expected: String,
        convert: (Any?) -> T?,
    ): T? {
        requestedKeys += key
        val node = table.entries[key]
        if (node == null) {
            if (default == null) fault(key, "The key is missing; expected $expected.")
            return default
        }
        val value = (node as? DocumentNode.Scalar)?.value
        return convert(value) ?: default.also { fault(key, "Found ${describe(node)}; expected $expected.") }
    }

    private fun describe(node: DocumentNode): String =
        when (node) {
            is DocumentNode.Scalar -> if (node.value is String) "\"${node.value}\"" else node.value.toString()
            is DocumentNode.Sequence -> "an array"
            is DocumentNode.Table -> "a table"
            is DocumentNode.TableArray -> "an array of tables"
        }

    private fun reportUnknownKeys() {
        if (unknownKeys == UnknownKeys.IGNORED) return
        (table.entries.keys - requestedKeys).forEach {
            fault(it, "The key is unknown; expected one of ${requestedKeys.sorted().joinToString()}.")
        }
    }

    private fun path(key: String) = if (table.path.isEmpty()) key else "${table.path}.$key"

    public companion object {
        private val PLACEHOLDER_ADDRESS = Address("0.0.0.0", 1)

        /** Reads [text] with [read]; the error holds every fault found, in the order of reading. */
        public fun <T> read(
            file: String,
            text: String,
            unknownKeys: UnknownKeys = UnknownKeys.FAULTS,
            read: DocumentReader.() -> T,
        ): Result<T, List<Fault>> {
            val root = DocumentNode.parse(file, text).getOrElse { return Err(listOf(it)) }
            val faults = mutableListOf<Fault>()
            val value = DocumentReader(file, root, faults, unknownKeys).run { read().also { reportUnknownKeys() } }
            return if (faults.isEmpty()) Ok(value) else Err(faults)
        }
    }
}

/** Handling of keys in a document that are not read. */
public enum class UnknownKeys {
    /** Each such key is a fault, so that misspelled keys are found. */
    FAULTS,

    /** Such keys are allowed; they belong to other programs. */
    IGNORED,
}
