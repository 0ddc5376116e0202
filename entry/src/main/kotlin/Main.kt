package org.almondjunction.entry

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.runBlocking
import sun.misc.Signal
import java.io.File
import kotlin.system.exitProcess

/** Starts the command line of entry hosts and operators. */
public fun main(arguments: Array<String>): Unit =
    AlmondjunctionCommand()
        .subcommands(
            ServeCommand(),
            GroupCommand("settings", "Work with settings files.").subcommands(SettingsCheckCommand()),
            GroupCommand("ticket", "Submit and read tickets.").subcommands(TicketApplyCommand(), TicketShowCommand()),
            StatusCommand(),
        ).main(arguments)

private class AlmondjunctionCommand : CliktCommand(name = "almondjunction") {
    override fun help(context: Context) = "Serving system for many rarely used models: entry host and operator's command line."

    override fun run() = Unit
}

private class GroupCommand(
    name: String,
    private val helpText: String,
) : CliktCommand(name) {
    override fun help(context: Context) = helpText

    override fun run() = Unit
}

private class ServeCommand : CliktCommand(name = "serve") {
    private val settings by option(
        "--settings",
        help = "TOML file with the entry host's settings",
    ).file(mustExist = true, canBeDir = false).required()

    override fun help(context: Context) = "Serve callers and operators until a stop signal; a second signal stops at once."

    override fun run() {
        val read = readSettings(settings)
        val token = readToken(read)
        val process = EntryProcess(read, token)
        listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { process.requestStop() } }
        runBlocking {
            process.start()
            process.awaitStop()
        }
        exitProcess(0)
    }

    private fun readToken(settings: EntrySettings): String {
        val token =
            if (settings.adminTokenFile.isEmpty()) {
                System.getenv(TOKEN_VARIABLE)
            } else {
                runCatching {
                    File(settings.adminTokenFile).readText()
                }.getOrNull()
            }
        if (token.isNullOrBlank()) {
            echo("No operators' token: set admin_token_file to a readable file, or the environment variable $TOKEN_VARIABLE.", err = true)
            throw ProgramResult(ExitCode.INVALID_INPUT.value)
        }
        return token.trim()
    }
}

private class SettingsCheckCommand : CliktCommand(name = "check") {
    private val settings by argument(help = "TOML file with the entry host's settings").file(mustExist = true, canBeDir = false)

    override fun help(context: Context) = "Check a settings file and report every fault."

    override fun run() {
        readSettings(settings)
        echo("The settings are valid.")
    }
}

private fun CliktCommand.readSettings(file: File): EntrySettings =
    EntrySettings.read(file.path, file.readText()).getOrElse { faults ->
        faults.forEach { echo(it, err = true) }
        throw ProgramResult(ExitCode.INVALID_INPUT.value)
    }

/** Environment variable that holds the operators' token. */
internal const val TOKEN_VARIABLE = "ALMONDJUNCTION_TOKEN"

/** Exit codes of the command line. */
internal enum class ExitCode(
    val value: Int,
) {
    REFUSED(1),
    INVALID_INPUT(2),
    UNREACHABLE(3),
    NOT_KNOWN_YET(4),
}
