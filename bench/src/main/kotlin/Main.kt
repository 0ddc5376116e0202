package org.almondjunction.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Starts the load and experiment tool. */
public fun main(arguments: Array<String>): Unit =
    BenchCommand().subcommands(ControlCommand(), LoadCommand(), PolicyCommand()).main(arguments)

private class BenchCommand : CliktCommand(name = "bench") {
    override fun help(context: Context) = "Measures the system on loopback and replays request traces against its residency policies."

    override fun run() = Unit
}
