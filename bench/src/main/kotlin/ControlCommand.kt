package org.almondjunction.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.HdrHistogram.Histogram
import org.almondjunction.common.SystemClock

/** `control`: what tickets and idle sessions cost, for a number of agents. */
internal class ControlCommand : CliktCommand(name = "control") {
    private val agents by option("--agents", help = "Number of agents").int().default(40)
    private val models by option("--models", help = "Models in the first ticket").int().default(30)
    private val tickets by option("--tickets", help = "Tickets submitted after the first").int().default(20)
    private val idleSeconds by option("--idle-seconds", help = "Seconds of idle time measured").int().default(10)

    override fun help(context: Context) = "Measure the time until a ticket is in force everywhere, and the cost of control."

    override fun run() {
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        SelectorManager(Dispatchers.IO).use { selector ->
            LocalCluster(engines = agents, entries = 2, withAgents = false).use { cluster -> measure(cluster, selector, scope) }
            scope.cancel()
        }
    }

    private fun measure(
        cluster: LocalCluster,
        selector: SelectorManager,
        scope: CoroutineScope,
    ) {
        val light = LightAgents(agents, cluster.internalAddresses, selector, scope).apply { start() }
        cluster.submitOnce(number = 1, replicas = 2, models = List(models) { "m$it" })
        LocalCluster.eventually("every agent has the first ticket") { light.reached[1]?.size == agents }
        Thread.sleep(SETTLE_MS)
        val idle = Meter(cluster).measure { Thread.sleep(idleSeconds * 1_000L) }
        val latency = Histogram(LOWEST_MS, HIGHEST_MS, DIGITS)
        val busy =
            Meter(cluster).measure {
                (2L..tickets + 1L).forEach { number ->
                    val startMs = SystemClock.nowMs()
                    cluster.submitOnce(number, replicas = 2, models = listOf("m${number % models}"), version = "v$number")
                    LocalCluster.eventually("ticket $number is in force") { light.reached[number]?.size == agents }
                    light.reached.getValue(number).forEach { latency.recordValue(maxOf(1, it - startMs)) }
                    Thread.sleep(TICKET_INTERVAL_MS)
                }
            }
        echo("agents $agents, entry hosts 2, models $models, tickets $tickets")
        echo(
            "in force everywhere: median ${latency.getValueAtPercentile(
                50.0,
            )} ms, 99th ${latency.getValueAtPercentile(99.0)} ms, worst ${latency.maxValue} ms",
        )
        echo("idle:    ${idle.describe()}")
        echo("tickets: ${busy.describe()}")
        echo("resident memory of an entry host: ${Meter.residentMb(cluster.entryNodes.first())} MB")
    }

    private companion object {
        const val SETTLE_MS = 3_000L
        const val TICKET_INTERVAL_MS = 300L
        const val LOWEST_MS = 1L
        const val HIGHEST_MS = 120_000L
        const val DIGITS = 3
    }
}
