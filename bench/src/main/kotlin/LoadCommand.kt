package org.almondjunction.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.HdrHistogram.Histogram
import java.net.http.HttpRequest
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** `load`: measures the latency and processor time that the system adds to streams, against direct calls of the engine in the same run. */
internal class LoadCommand : CliktCommand(name = "load") {
    private val requests by option("--requests", help = "Requests at each level").int().default(400)
    private val tokens by option("--tokens", help = "Tokens of each answer").int().default(64)
    private val tokenMs by option("--token-ms", help = "Time between two tokens of the engine").long().default(10L)
    private val levels by option("--streams", help = "Concurrent streams, separated by commas").default("1,8,64")

    override fun help(context: Context) = "Measure added time to first token and between tokens, and processor time per request and token."

    override fun run() {
        LocalCluster(engines = 1, entries = 1, tokenMs = tokenMs, optimized = true).use { cluster ->
            cluster.apply(number = 1, replicas = 1)
            val direct = cluster.directChat(tokens)
            val throughSystem = cluster.chat(entry = 0, tokens = tokens)
            cluster.send(throughSystem)
            repeat(2) { Round(cluster, WARM_UP_STREAMS, WARM_UP_REQUESTS).run(throughSystem) }
            levels.split(',').map { it.trim().toInt() }.forEach { streams ->
                val engine = Round(cluster, streams, requests).run(direct)
                val system = Round(cluster, streams, requests).run(throughSystem)
                echo("$streams streams, $requests requests of $tokens tokens")
                echo("  engine alone: ${engine.describe()}")
                echo("  through:      ${system.describe()}")
                echo("  cost:         ${system.describeCost(requests, tokens)}")
            }
            echo(
                "resident memory: entry host ${Meter.residentMb(
                    cluster.entryNodes.single(),
                )} MB, agent ${Meter.residentMb(cluster.agentNodes.single())} MB",
            )
        }
    }

    /** One run of requests at a number of concurrent streams. */
    private class Round(
        private val cluster: LocalCluster,
        private val streams: Int,
        private val requests: Int,
    ) {
        val timeToFirstToken = Histogram(HIGHEST_LATENCY_US, 3)
        val timeBetweenTokens = Histogram(HIGHEST_LATENCY_US, 3)
        val failed = AtomicInteger()
        val events = AtomicLong()
        var seconds = 0.0
        var entryProcessorMs = 0L
        var agentProcessorMs = 0L

        fun run(request: HttpRequest): Round {
            val startNs = System.nanoTime()
            val (entryBefore, agentBefore) =
                Meter.processorMs(cluster.entryNodes.single()) to
                    Meter.processorMs(cluster.agentNodes.single())
            val pool = Executors.newFixedThreadPool(streams)
            repeat(requests) { pool.execute { runCatching { stream(request) }.onFailure { failed.incrementAndGet() } } }
            pool.shutdown()
            pool.awaitTermination(ROUND_LIMIT_MINUTES, TimeUnit.MINUTES)
            seconds = (System.nanoTime() - startNs) / NANOSECONDS_PER_SECOND
            entryProcessorMs = Meter.processorMs(cluster.entryNodes.single()) - entryBefore
            agentProcessorMs = Meter.processorMs(cluster.agentNodes.single()) - agentBefore
            return this
        }

        private fun stream(request: HttpRequest) {
            var lastNs = System.nanoTime()
            var eventCount = 0
            var complete = false
            cluster.lines(request).forEach { line ->
                if (!line.startsWith("data: ")) return@forEach
                val nowNs = System.nanoTime()
                val histogram = if (eventCount++ == 0) timeToFirstToken else timeBetweenTokens
                synchronized(histogram) { histogram.recordValue((nowNs - lastNs) / NANOSECONDS_PER_MICROSECOND) }
                lastNs = nowNs
                complete = complete || line == "data: [DONE]"
            }
            events.addAndGet(eventCount.toLong())
            if (!complete) failed.incrementAndGet()
        }

        fun describe(): String =
            "first token median %.2f ms, 99th %.2f ms; between tokens median %.2f ms, 99th %.2f ms; %.0f requests/s, %.0f tokens/s, %d failed"
                .format(
                    timeToFirstToken.percentileMs(50.0),
                    timeToFirstToken.percentileMs(99.0),
                    timeBetweenTokens.percentileMs(50.0),
                    timeBetweenTokens.percentileMs(99.0),
                    requests / seconds,
                    events.get() / seconds,
                    failed.get(),
                )

        fun describeCost(
            requests: Int,
            tokens: Int,
        ): String =
            "entry host %.2f ms per request (%.1f us per token), agent %.2f ms per request (%.1f us per token)"
                .format(
                    entryProcessorMs.toDouble() / requests,
                    entryProcessorMs * MICROSECONDS_PER_MILLISECOND / requests / tokens,
                    agentProcessorMs.toDouble() / requests,
                    agentProcessorMs * MICROSECONDS_PER_MILLISECOND / requests / tokens,
                )

        private fun Histogram.percentileMs(percentile: Double) = getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
    }

    private companion object {
        const val WARM_UP_STREAMS = 16
        const val WARM_UP_REQUESTS = 300
        const val HIGHEST_LATENCY_US = 600_000_000L
        const val ROUND_LIMIT_MINUTES = 10L
        const val NANOSECONDS_PER_SECOND = 1e9
        const val NANOSECONDS_PER_MICROSECOND = 1_000L
        const val MICROSECONDS_PER_MILLISECOND = 1_000.0
    }
}
