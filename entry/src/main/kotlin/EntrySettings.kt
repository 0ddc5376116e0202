package org.almondjunction.entry

import com.github.michaelbull.result.Result
import org.almondjunction.common.Address
import org.almondjunction.common.DocumentReader
import org.almondjunction.common.Fault
import org.almondjunction.common.HostId
import org.almondjunction.common.Location
import org.almondjunction.common.RegionId
import org.almondjunction.common.ZoneId

/**
 * Settings of an entry host.
 *
 * @property listen address for callers
 * @property admin address for operators, metrics and health checks
 * @property internal address for other processes of the system
 * @property platform address of the platform's object store
 * @property peers other entry hosts, followed for the accepted state while the object store does not answer
 * @property adminTokenFile file with the operators' token; empty to read it from the environment
 * @property bodyLimitBytes maximum size of a request body
 * @property defaultTimeoutMs time limit of a request that specifies none
 * @property maximumTimeoutMs longest time limit that a request may specify
 * @property crossRegionMinimumMs remaining time below which a request is not sent to another region
 * @property leaseMs time without renewal after which another entry host may acquire the controller lease
 * @property settlingMs time after which the rights of a removed host may be released, if no entry host has had contact with it meanwhile
 * @property drainNoticeMs time in a graceful stop between reporting "not ready" and refusing new requests
 * @property drainLimitMs longest time that a graceful stop waits for requests in progress
 */
public data class EntrySettings(
    val host: HostId,
    val location: Location,
    val listen: Address,
    val admin: Address,
    val internal: Address,
    val platform: Address,
    val peers: List<Address> = emptyList(),
    val adminTokenFile: String = "",
    val bodyLimitBytes: Int = 1_048_576,
    val defaultTimeoutMs: Long = 60_000,
    val maximumTimeoutMs: Long = 3_600_000,
    val crossRegionMinimumMs: Long = 1_000,
    val leaseMs: Long = 4_000,
    val settlingMs: Long = 900_000,
    val drainNoticeMs: Long = 1_000,
    val drainLimitMs: Long = 600_000,
) {
    public companion object {
        /** Reads settings from TOML [text]; the error holds every fault. */
        public fun read(
            file: String,
            text: String,
        ): Result<EntrySettings, List<Fault>> = DocumentReader.read(file, text) { settings() }

        private fun DocumentReader.settings() =
            EntrySettings(
                host = HostId(string("host")),
                location = Location(RegionId(string("region")), ZoneId(string("zone"))),
                listen = address("listen"),
                admin = address("admin"),
                internal = address("internal"),
                platform = address("platform"),
                peers = peers(),
                adminTokenFile = string("admin_token_file", default = ""),
                bodyLimitBytes = int("body_limit_bytes", default = 1_048_576, range = 1..4_194_304),
                defaultTimeoutMs = long("default_timeout_ms", default = 60_000, range = 1L..3_600_000L),
                maximumTimeoutMs = long("maximum_timeout_ms", default = 3_600_000, range = 1L..86_400_000L),
                crossRegionMinimumMs = long("cross_region_minimum_ms", default = 1_000),
                leaseMs = long("lease_ms", default = 4_000, range = 1_000L..600_000L),
                settlingMs = long("settling_ms", default = 900_000, range = 1_000L..86_400_000L),
                drainNoticeMs = long("drain_notice_ms", default = 1_000, range = 0L..60_000L),
                drainLimitMs = long("drain_limit_ms", default = 600_000),
            )

        private fun DocumentReader.peers(): List<Address> =
            strings("peers").mapNotNull { text ->
                Address.parse(text).also { if (it == null) fault("peers", "Found \"$text\"; expected an IP number and a port.") }
            }
    }
}
