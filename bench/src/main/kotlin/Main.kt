package org.almondjunction.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Starts the load and experiment tool. */
public fun main(arguments: Array<String>): Unit =
    BenchCommand().subcommands(ControlCommand(), LoadCommand(), PolicyCommand()).main(arguments)

private class BenchCommand : CliktCommand(name = "bench") {
    override fun help(context: Context) = "Measures the product on loopback and replays traces over its decisions."

    override fun run() = Unit
}
