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
        val read =
            StandInSettings.read(settings.path, settings.readText()).getOrElse { faults ->
                faults.forEach { echo(it, err = true) }
                throw ProgramResult(2)
            }
        val weights = WeightStoreStandIn(read.loadsPerSecond)
        PlatformStandIn(read.platform, Json.decodeFromString(File(read.hostsFile).readText())).create().start(wait = false)
        read.engines.forEach { EngineStandIn(it.listen, it.options, weights).create().start(wait = false) }
        read.services.forEach { PlainServiceStandIn(it.listen, it.name).create().start(wait = false) }
        echo("ready")
        Thread.currentThread().join()
    }
}
