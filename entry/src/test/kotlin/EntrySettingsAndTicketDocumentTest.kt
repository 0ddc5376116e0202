package org.almondjunction.entry

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EntrySettingsAndTicketDocumentTest {
    private val settings =
        """
        host = "entry-1"
        region = "dalmacija"
        zone = "split-a"
        listen = "127.0.0.1:80"
        admin = "127.0.0.1:81"
        internal = "127.0.0.1:82"
        platform = "127.0.0.1:83"
        """.trimIndent()

    private val offer = "[[models]]\nmodel = \"m\"\nservice = \"s\"\nversion = \"1\"\nmemory_mb = 10\n"

    @Test
    fun `all settings faults are reported with their locations`() {
        val cases =
            listOf(
                "$settings\npeers = [\"entry:1\"]" to listOf("s.toml:8:peers"),
                "$settings\nlease_ms = \"6s\"" to listOf("s.toml:8:lease_ms"),
                "$settings\nbody_limit_bytes = 0\nspeed = 3" to listOf("s.toml:8:body_limit_bytes", "s.toml:9:speed"),
                settings.replace(":83", ":65536") to listOf("s.toml:7:platform"),
                settings.replace("host = \"entry-1\"", "") to listOf("s.toml:host"),
            )
        cases.forEach { (text, locations) ->
            val faults = EntrySettings.read("s.toml", text).getError().orEmpty()
            assertEquals(locations, faults.map { listOfNotNull(it.file, it.line, it.path).joinToString(":") }, faults.joinToString())
        }
    }

    @Test
    fun `all ticket faults are reported and the ticket is not read`() {
        val cases =
            listOf(
                offer to listOf("number"),
                "number = 1\n$offer" + "replicas = 20000" to listOf("models[0].replicas"),
                "number = 1\n$offer$offer" to listOf("models"),
                "number = 1\nwithdrawn = [\"m\"]\n$offer" to listOf("withdrawn"),
                "number = 1" to listOf("models"),
                "number = 1\n$offer" + "colour = 1\npriority = 11" to listOf("models[0].priority", "models[0].colour"),
            )
        cases.forEach { (text, paths) ->
            assertEquals(
                paths,
                TicketDocument
                    .read("t.toml", text)
                    .getError()
                    .orEmpty()
                    .map { it.path },
                text,
            )
        }
    }

    @Test
    fun `the examples are valid`() {
        val directories = File("../examples").listFiles().orEmpty().filter { it.isDirectory }
        assertTrue(directories.size >= 2)
        directories.forEach { directory ->
            directory.listFiles { file -> file.name.startsWith("entry-") }.orEmpty().forEach { file ->
                EntrySettings.read(file.path, file.readText()).getOrElse { error(it.joinToString("\n")) }
            }
            val ticket =
                directory
                    .resolve("ticket-1.toml")
                    .let {
                        TicketDocument.read(it.path, it.readText())
                    }.getOrElse { error(it.joinToString("\n")) }
            assertEquals(60, ticket.models.sumOf { it.adapters.size })
        }
    }
}
