package org.almondjunction.agent

import com.github.michaelbull.result.Result
import org.almondjunction.common.Address
import org.almondjunction.common.DocumentReader
import org.almondjunction.common.Fault
import org.almondjunction.common.HostId
import org.almondjunction.common.Location
import org.almondjunction.common.RegionId
import org.almondjunction.common.TargetId
import org.almondjunction.common.ZoneId
import org.almondjunction.decisions.TargetKind
import org.almondjunction.decisions.TargetLimits

/**
 * Settings of an agent.
 *
 * @property listen address on which this agent accepts connections from entry hosts
 * @property admin address of the metrics and health endpoints
 * @property backend address of this agent's engine or plain service
 * @property entries entry hosts from which the accepted state can be received, in any order
 * @property memoryMb accelerator memory of the engine, in megabytes
 * @property drainLimitMs maximum time that a graceful stop waits for requests in progress, in milliseconds
 * @property reportIntervalMs interval between report requests to an engine that has no order in progress, in milliseconds
 * @property idleMsPerColdMs milliseconds of idle accelerator time whose cost equals one millisecond of cold-start time
 * @property engineChecksFence whether the engine refuses orders with a stale fencing number
 */
public data class AgentSettings(
    val target: TargetId,
    val host: HostId,
    val location: Location,
    val kind: TargetKind,
    val listen: Address,
    val admin: Address,
    val backend: Address,
    val entries: List<Address>,
    val memoryMb: Long = 0,
    val limits: TargetLimits = TargetLimits(),
    val drainLimitMs: Long = 600_000,
    val reportIntervalMs: Long = 2_000,
    val idleMsPerColdMs: Double = 60.0,
    val engineChecksFence: Boolean = false,
) {
    public companion object {
        /** Reads settings from TOML [text]; the error contains every fault. */
        public fun read(
            file: String,
            text: String,
        ): Result<AgentSettings, List<Fault>> = DocumentReader.read(file, text) { settings() }

        private fun DocumentReader.settings(): AgentSettings {
            val kind = kind()
            return AgentSettings(
                target = TargetId(string("target")),
                host = HostId(string("host")),
                location = Location(RegionId(string("region")), ZoneId(string("zone"))),
                kind = kind,
                listen = address("listen"),
                admin = address("admin"),
                backend = address("backend"),
                entries = entries(),
                memoryMb = long("memory_mb", default = if (kind == TargetKind.PLAIN) 0 else null),
                limits = table("limits") { limits() },
                drainLimitMs = long("drain_limit_ms", default = 600_000),
                reportIntervalMs = long("report_interval_ms", default = 2_000, range = 50L..60_000L),
                idleMsPerColdMs = double("idle_ms_per_cold_ms", default = 60.0, range = 0.0..100_000.0),
                engineChecksFence = boolean("engine_checks_fence", default = false),
            )
        }

        private fun DocumentReader.kind(): TargetKind =
            when (val text = string("kind", default = "engine")) {
                "engine" -> TargetKind.ENGINE
                "plain" -> TargetKind.PLAIN
                else -> TargetKind.ENGINE.also { fault("kind", "Found \"$text\"; expected \"engine\" or \"plain\".") }
            }

        private fun DocumentReader.entries(): List<Address> {
            val entries =
                strings("entries").mapNotNull { text ->
                    Address.parse(text).also { if (it == null) fault("entries", "Found \"$text\"; expected an IP number and a port.") }
                }
            if (entries.isEmpty()) fault("entries", "Found no valid address; expected at least one, such as [\"127.0.0.1:7101\"].")
            return entries
        }

        private fun DocumentReader.limits(): TargetLimits {
            val defaults = TargetLimits()
            return TargetLimits(
                maximumRunning = int("maximum_running", defaults.maximumRunning, 1..100_000),
                maximumWaiting = int("maximum_waiting", defaults.maximumWaiting, 1..100_000),
                orderSettleMs = long("order_settle_ms", defaults.orderSettleMs, 100L..600_000L),
                ticketDrainMs = long("ticket_drain_ms", defaults.ticketDrainMs, 0L..600_000L),
                fencingMs = long("fencing_ms", defaults.fencingMs, 1_000L..86_400_000L),
                agingMs = long("aging_ms", defaults.agingMs, 100L..3_600_000L),
                bypassMs = long("bypass_ms", defaults.bypassMs, 0L..3_600_000L),
                minimumResidencyMs = long("minimum_residency_ms", defaults.minimumResidencyMs, 0L..3_600_000L),
                defaultLoadMs = long("default_load_ms", defaults.defaultLoadMs, 0L..3_600_000L),
            )
        }
    }
}
