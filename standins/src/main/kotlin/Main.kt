package org.almondjunction.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.json.Json
import java.io.File

/** Starts a process of stand-ins. */
public fun main(arguments: Array<String>): Unit = StandInsCommand().main(arguments)

private class StandInsCommand : CliktCommand(name = "standins") {
    private val settings by option(
        "--settings",
        help = "TOML file that names the stand-ins",
    ).file(mustExist = true, canBeDir = false).required()

    override fun help(context: Context) = "Stand-ins of the platform, model engines and plain services, for trials on one machine."

    override fun run() {
        val parsed =
            StandInSettings.read(settings.path, settings.readText()).getOrElse { faults ->
                faults.forEach { echo(it, err = true) }
                throw ProgramResult(2)
            }
        val weightStore = WeightStoreStandIn(parsed.loadsPerSecond)
        PlatformStandIn(parsed.platform, Json.decodeFromString(File(parsed.hostsFile).readText())).create().start(wait = false)
        parsed.engines.forEach { EngineStandIn(it.listen, it.options, weightStore).create().start(wait = false) }
        parsed.services.forEach { PlainServiceStandIn(it.listen, it.name).create().start(wait = false) }
        echo("ready")
        Thread.currentThread().join()
    }
}
