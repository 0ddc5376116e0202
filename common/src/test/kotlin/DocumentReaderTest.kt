package org.almondjunction.common

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import kotlin.test.Test
import kotlin.test.assertEquals

class DocumentReaderTest {
    private data class Sample(
        val name: String,
        val listen: Address,
        val limit: Long,
        val children: List<String>,
        val tags: List<String>,
    )

    private fun read(text: String) =
        DocumentReader.read("sample.toml", text) {
            Sample(
                name = string("name"),
                listen = address("listen"),
                limit = table("limits") { long("body_bytes", default = 10, range = 1L..100L) },
                children = tables("child") { string("id") },
                tags = strings("tags"),
            )
        }

    @Test
    fun `reads every kind of value`() {
        val text =
            """
            name = "split"
            listen = "127.0.0.1:80"
            tags = ["a", "b"]
            [limits]
            body_bytes = 7
            [[child]]
            id = "one"
            [[child]]
            id = "two"
            """.trimIndent()
        val expected = Sample("split", Address("127.0.0.1", 80), 7, listOf("one", "two"), listOf("a", "b"))
        assertEquals(expected, read(text).getOrElse { error(it) })
    }

    @Test
    fun `reports every fault with its file, line and path`() {
        val base = "name = \"x\"\nlisten = \"127.0.0.1:80\"\n"
        val cases =
            listOf(
                "name = 3\n" to listOf("sample.toml:1:name", "sample.toml:listen"),
                "$base[limits]\nbody_bytes = 700" to listOf("sample.toml:4:limits.body_bytes"),
                "$base[limits]\nbody_bytes = \"7s\"" to listOf("sample.toml:4:limits.body_bytes"),
                "${base}colour = 1" to listOf("sample.toml:3:colour"),
                "name = \"x\"\nlisten = \"localhost:80\"" to listOf("sample.toml:2:listen"),
                "name = \"x\"\nlisten = \"127.0.0.1:65536\"" to listOf("sample.toml:2:listen"),
                "$base[[child]]\nid = \"a\"\n[[child]]\nsize = 1" to listOf("sample.toml:5:child[1].id", "sample.toml:6:child[1].size"),
            )
        cases.forEach { (text, positions) ->
            val faults = read(text).getError().orEmpty()
            assertEquals(positions, faults.map { listOfNotNull(it.file, it.line, it.path).joinToString(":") }, faults.joinToString())
        }
    }
}
