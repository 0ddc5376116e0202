package org.almondjunction.common

/**
 * One fault in a settings or ticket file.
 *
 * @property file path of the file as the user named it
 * @property line line within the file, from 1; null where the fault has no place
 * @property path dotted path of the key
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
