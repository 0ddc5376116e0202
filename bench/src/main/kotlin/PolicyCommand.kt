package org.almondjunction.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import org.almondjunction.decisions.ResidencyPolicy
import java.io.File

/** `policy`: compares the cost of the residency policy with its baselines and with the clairvoyant policy, which knows all arrivals. */
internal class PolicyCommand : CliktCommand(name = "policy") {
    private val seeds by option("--seeds", help = "Number of traces, drawn with seeds from 1").int().default(10)
    private val output by option("--csv", help = "File for the figures of each trace").file(canBeDir = false)

    override fun help(context: Context) = "Replay request traces against the residency policy and its baselines."

    private class Deployment(
        val name: String,
        val generator: TraceGenerator,
        val days: Int,
        val idleMsPerColdMs: Double,
    )

    private val deployments =
        listOf(
            Deployment("voshtara", TraceGenerator(30, days = 14, busyShare = 0.9, quietVisitsPerDay = 0.5), 14, idleMsPerColdMs = 240.0),
            Deployment("levant", TraceGenerator(20, days = 14, busyShare = 0.6, quietVisitsPerDay = 0.3), 14, idleMsPerColdMs = 30.0),
            Deployment("target", TraceGenerator(1_100, days = 3, busyShare = 0.2, quietVisitsPerDay = 1.5), 3, idleMsPerColdMs = 60.0),
        )

    override fun run() {
        val rows =
            mutableListOf("deployment,seed,policy,cold_starts,cold_median_ms,cold_p95_ms,cold_p99_ms,cold_worst_ms,idle_hours,cost_ratio")
        deployments.forEach { deployment ->
            val ratios = linkedMapOf<String, MutableList<Double>>()
            (1..seeds).forEach { seed ->
                val trace = deployment.generator.generate(seed)
                val endMs = deployment.days * TraceGenerator.DAY_MS
                val optimal = Replay.clairvoyant(trace, endMs, deployment.idleMsPerColdMs)
                val results =
                    policies(deployment.idleMsPerColdMs).mapValues { Replay.run(trace, endMs, it.value) } + ("clairvoyant" to optimal)
                results.forEach { (name, result) ->
                    val ratio = result.costMs(deployment.idleMsPerColdMs) / optimal.costMs(deployment.idleMsPerColdMs)
                    ratios.getOrPut(name) { mutableListOf() } += ratio
                    rows += row(deployment.name, seed, name, result, ratio)
                }
            }
            echo("${deployment.name}: cost against the clairvoyant policy over $seeds traces, median (least to most)")
            ratios.forEach { (name, values) ->
                echo("  %-16s %.2f (%.2f to %.2f)".format(name, values.sorted()[values.size / 2], values.min(), values.max()))
            }
        }
        output?.write(rows)
    }

    private fun File.write(rows: List<String>) = writeText(rows.joinToString("\n", postfix = "\n"))

    private fun policies(idleMsPerColdMs: Double): Map<String, ResidencyPolicy> =
        linkedMapOf(
            "learned gaps" to ResidencyPolicy.LearnedGaps(idleMsPerColdMs),
            "break even" to ResidencyPolicy.BreakEven(idleMsPerColdMs),
            "evict at once" to ResidencyPolicy.FixedIdleTime(0),
            "fixed 5 min" to ResidencyPolicy.FixedIdleTime(5 * MINUTE_MS),
            "fixed 15 min" to ResidencyPolicy.FixedIdleTime(15 * MINUTE_MS),
            "fixed 60 min" to ResidencyPolicy.FixedIdleTime(60 * MINUTE_MS),
            "keep for ever" to ResidencyPolicy.FixedIdleTime(Long.MAX_VALUE / 4),
        )

    private fun row(
        deployment: String,
        seed: Int,
        policy: String,
        result: ReplayResult,
        ratio: Double,
    ): String {
        val waits = result.coldWaitsMs.sorted()

        fun percentile(share: Double) = waits[((waits.size - 1) * share).toInt()]
        val figures = listOf(waits.size, percentile(0.5), percentile(0.95), percentile(0.99), waits.last())
        return listOf(
            deployment,
            seed,
            policy,
            figures.joinToString(","),
            "%.1f".format(result.idleMs / HOUR_MS),
            "%.3f".format(ratio),
        ).joinToString(",")
    }

    private companion object {
        const val MINUTE_MS = 60_000L
        const val HOUR_MS = 3_600_000.0
    }
}
