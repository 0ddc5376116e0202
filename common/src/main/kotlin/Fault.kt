package org.almondjunction.common

/**
 * One fault in a settings or ticket file.
 *
 * @property file path of the file as the user specified it
 * @property line line number in the file, starting at 1; null if unknown
 * @property path dotted path of the key; empty if the file is not valid TOML
 * @property message what was found and what is expected
 */
public data class Fault(
    val file: String,
    val line: Int?,
    val path: String,
    val message: String,
) {
    override fun toString(): String = listOfNotNull(file, line?.toString(), path.ifEmpty { null }).joinToString(":") + ": $message"
}
