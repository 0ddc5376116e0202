package org.almondjunction.agent

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

/** Runs the agent's command line. */
public fun main(arguments: Array<String>): Unit = AgentCommand().subcommands(ServeCommand(), CheckCommand()).main(arguments)

private class AgentCommand : CliktCommand(name = "almondjunction-agent") {
    override fun help(context: Context) = "Agent of one target: runs its requests and sends orders to its engine."

    override fun run() = Unit
}

private class ServeCommand : CliktCommand(name = "serve") {
    private val settings by option(
        "--settings",
        help = "TOML file with the agent's settings",
    ).file(mustExist = true, canBeDir = false).required()

    override fun help(context: Context) = "Serve until a stop signal; a second signal ends requests in progress."

    override fun run() {
        val process = AgentProcess(readSettings(settings))
        listOf("TERM", "INT").forEach { name -> Signal.handle(Signal(name)) { process.requestStop() } }
        runBlocking {
            process.start()
            process.awaitStop()
        }
        exitProcess(0)
    }
}

private class CheckCommand : CliktCommand(name = "check") {
    private val settings by argument(help = "TOML file with the agent's settings").file(mustExist = true, canBeDir = false)

    override fun help(context: Context) = "Check a settings file and report every fault."

    override fun run() {
        readSettings(settings)
        echo("The settings are valid.")
    }
}

private fun CliktCommand.readSettings(file: File): AgentSettings =
    AgentSettings.read(file.path, file.readText()).getOrElse { faults ->
        faults.forEach { echo(it, err = true) }
        throw ProgramResult(EXIT_INVALID_SETTINGS)
    }

private const val EXIT_INVALID_SETTINGS = 2
