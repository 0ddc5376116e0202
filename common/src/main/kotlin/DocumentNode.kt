package org.almondjunction.common

import com.akuleshov7.ktoml.TomlInputConfig
import com.akuleshov7.ktoml.parsers.TomlParser
import com.akuleshov7.ktoml.tree.nodes.TomlArrayOfTablesElement
import com.akuleshov7.ktoml.tree.nodes.TomlFile
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValueArray
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValuePrimitive
import com.akuleshov7.ktoml.tree.nodes.TomlNode
import com.akuleshov7.ktoml.tree.nodes.TomlTable
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlValue
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/**
 * Immutable node of a TOML document.
 *
 * @property path dotted path from the root; empty for the root
 * @property line line number in the document, starting at 1; less than 1 for the root
 */
internal sealed class DocumentNode {
    abstract val path: String
    abstract val line: Int

    data class Scalar(
        override val path: String,
        override val line: Int,
        val value: Any?,
    ) : DocumentNode()

    data class Sequence(
        override val path: String,
        override val line: Int,
        val values: List<Any?>,
    ) : DocumentNode()

    data class Table(
        override val path: String,
        override val line: Int,
        val entries: Map<String, DocumentNode>,
    ) : DocumentNode()

    data class TableArray(
        override val path: String,
        override val line: Int,
        val elements: List<Table>,
    ) : DocumentNode()

    companion object {
        /** Parses [text]; [file] appears only in the fault that is returned if the text is not valid TOML. */
        fun parse(
            file: String,
            text: String,
        ): Result<Table, Fault> =
            runCatching { TomlParser(TomlInputConfig()).parseString(text) }.fold(
                onSuccess = { Ok(it.toTable(path = "")) },
                onFailure = {
                    Err(
                        Fault(
                            file,
                            LINE_IN_MESSAGE
                                .find(it.message.orEmpty())
                                ?.groupValues
                                ?.get(1)
                                ?.toInt(),
                            "",
                            "Invalid TOML: ${it.message}",
                        ),
                    )
                },
            )

        private val LINE_IN_MESSAGE = Regex("""[Ll]ine (\d+)""")

        private fun TomlNode.toTable(path: String): Table =
            Table(
                path = path,
                line = lineNo,
                entries = children.filterNot { it.isStub() }.associate { it.key() to it.toNode(path.child(it.key())) },
            )

        private fun TomlNode.isStub() = this !is TomlKeyValuePrimitive && this !is TomlKeyValueArray && this !is TomlTable

        private fun TomlNode.key() = name.substringAfterLast('.').trim('"')

        private fun String.child(key: String) = if (isEmpty()) key else "$this.$key"

        private fun TomlNode.toNode(path: String): DocumentNode =
            when (this) {
                is TomlKeyValuePrimitive -> value.toNode(path, lineNo)
                is TomlKeyValueArray -> value.toNode(path, lineNo)
                is TomlFile -> toTable(path)
                else -> toTableOrTableArray(path)
            }

        private fun TomlNode.toTableOrTableArray(path: String): DocumentNode {
            val elements = children.filterIsInstance<TomlArrayOfTablesElement>()
            if (elements.isEmpty()) return toTable(path)
            return TableArray(path, lineNo, elements.mapIndexed { index, element -> element.toTable("$path[$index]") })
        }

        private fun TomlValue.toNode(
            path: String,
            line: Int,
        ): DocumentNode {
            val unwrapped = content
            return if (unwrapped is List<*>) Sequence(path, line, unwrapped.map { it.unwrap() }) else Scalar(path, line, unwrapped)
        }

        private fun Any?.unwrap(): Any? = if (this is TomlValue) content else this
    }
}
