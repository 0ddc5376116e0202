package org.almondjunction.agent

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class AgentSettingsTest {
    private val settings =
        """
        target = "engine-1"
        host = "host-1"
        region = "dalmacija"
        zone = "split-a"
        listen = "127.0.0.1:80"
        admin = "127.0.0.1:81"
        backend = "127.0.0.1:82"
        entries = ["127.0.0.1:83"]
        memory_mb = 100
        """.trimIndent()

    @Test
    fun `each fault names the path of its setting`() {
        val cases =
            listOf(
                settings.replace("memory_mb = 100", "kind = \"gpu\"") to listOf("kind", "memory_mb"),
                settings.replace("[\"127.0.0.1:83\"]", "[]") to listOf("entries"),
                "$settings\n[limits]\nfencing_ms = 5\nspeed = 1" to listOf("limits.fencing_ms", "limits.speed"),
            )
        cases.forEach { (text, paths) ->
            assertEquals(
                paths,
                AgentSettings
                    .read("a.toml", text)
                    .getError()
                    .orEmpty()
                    .map { it.path },
            )
        }
    }

    @Test
    fun `the examples are valid`() {
        val files = File("../examples").walk().filter { it.name.startsWith("agent-") }.toList()
        assertEquals(18, files.size)
        files.forEach { file -> AgentSettings.read(file.path, file.readText()).getOrElse { error(it.joinToString("\n")) } }
    }
}
