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

/** `control`: measures how fast tickets take effect and what tickets and idle sessions cost, for a given number of agents. */
internal class ControlCommand : CliktCommand(name = "control") {
    private val agents by option("--agents", help = "Number of agents").int().default(40)
    private val models by option("--models", help = "Models in the first ticket").int().default(30)
    private val tickets by option("--tickets", help = "Tickets submitted after the first").int().default(20)
    private val idleSeconds by option("--idle-seconds", help = "Seconds of idle time measured").int().default(10)

    override fun help(context: Context) = "Measure the time until tickets are in force at all agents, and the cost of the control protocol."

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
        val simulatedAgents = SimulatedAgents(agents, cluster.internalAddresses, selector, scope).apply { start() }
        cluster.submitUntilAccepted(number = 1, replicas = 2, models = List(models) { "m$it" })
        LocalCluster.eventually("every agent has the first ticket") { simulatedAgents.arrivalTimesMs[1]?.size == agents }
        Thread.sleep(SETTLE_MS)
        val idle = Meter(cluster).measure { Thread.sleep(idleSeconds * 1_000L) }
        val latency = Histogram(LOWEST_LATENCY_MS, HIGHEST_LATENCY_MS, SIGNIFICANT_DIGITS)
        val busy =
            Meter(cluster).measure {
                (2L..tickets + 1L).forEach { number ->
                    val startMs = SystemClock.nowMs()
                    cluster.submitUntilAccepted(number, replicas = 2, models = listOf("m${number % models}"), version = "v$number")
                    LocalCluster.eventually("ticket $number is in force") { simulatedAgents.arrivalTimesMs[number]?.size == agents }
                    simulatedAgents.arrivalTimesMs.getValue(number).forEach { latency.recordValue(maxOf(1, it - startMs)) }
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
        const val LOWEST_LATENCY_MS = 1L
        const val HIGHEST_LATENCY_MS = 120_000L
        const val SIGNIFICANT_DIGITS = 3
    }
}
