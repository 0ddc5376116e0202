package org.almondjunction.bench

import org.almondjunction.common.SystemClock
import java.io.File

/** Measures the resources that the entry hosts of a cluster use while a block runs. */
internal class Meter(
    private val cluster: LocalCluster,
) {
    private class Sample(
        val timeMs: Long,
        val processorMs: Long,
        val controlBytes: Double,
        val platformCalls: Long,
    )

    /** Resource use per second; processor time and bytes are averages over the entry hosts, platform calls are a total. */
    data class ResourceUsage(
        val seconds: Double,
        val processorMsPerSecond: Double,
        val controlBytesPerSecond: Double,
        val platformCallsPerSecond: Double,
    ) {
        fun describe(): String =
            "%.1f s; per entry host %.2f ms of processor time and %.0f bytes a second; %.2f platform calls a second"
                .format(seconds, processorMsPerSecond, controlBytesPerSecond, platformCallsPerSecond)
    }

    fun measure(block: () -> Unit): ResourceUsage {
        val before = sample()
        block()
        val after = sample()
        val seconds = (after.timeMs - before.timeMs) / 1_000.0
        val hosts = cluster.entryNodes.size
        return ResourceUsage(
            seconds,
            (after.processorMs - before.processorMs) / seconds / hosts,
            (after.controlBytes - before.controlBytes) / seconds / hosts,
            (after.platformCalls - before.platformCalls) / seconds,
        )
    }

    private fun sample() =
        Sample(
            timeMs = SystemClock.nowMs(),
            processorMs = cluster.entryNodes.sumOf { processorMs(it) },
            controlBytes = cluster.entryNodes.indices.sumOf { controlBytes(cluster.metrics(it)) },
            platformCalls =
                cluster.platform.callCounts.values
                    .sum(),
        )

    private fun controlBytes(metrics: String): Double =
        metrics.lines().filter { it.startsWith("almondjunction_control_bytes_total") }.sumOf { it.substringAfterLast(' ').toDouble() }

    companion object {
        /** Returns the processor time that a process has used, in milliseconds, or 0 if the system does not report it. */
        fun processorMs(node: LocalCluster.Node): Long =
            node.process
                .info()
                .totalCpuDuration()
                .map { it.toMillis() }
                .orElse(0)

        /** Returns the resident memory of a process, in megabytes. */
        fun residentMb(node: LocalCluster.Node): Long {
            val line = File("/proc/${node.process.pid()}/status").readLines().first { it.startsWith("VmRSS:") }
            return line.filter { it.isDigit() }.toLong() / KILOBYTES_PER_MEGABYTE
        }

        private const val KILOBYTES_PER_MEGABYTE = 1_024
    }
}
