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
 * @property listen where callers connect
 * @property admin where operators connect, and where metrics and health are served
 * @property internal where other processes of the system connect
 * @property platform where the platform's object service listens
 * @property peers other entry hosts, asked for the accepted state while the platform's service does not answer
 * @property adminTokenFile file with the operators' token; empty to read it from the environment
 * @property bodyLimitBytes largest request body
 * @property defaultTimeoutMs deadline of a request that names none
 * @property maximumTimeoutMs longest deadline that a request may name
 * @property crossRegionMinimumMs time left that a request needs before it may go to another region
 * @property leaseMs time without renewal after which another entry host takes the controllers over
 * @property settlingMs time after which a vanished host's rights may become free if every entry host denies having heard of it
 * @property drainNoticeMs time between "not ready" and the end of accepting requests in a graceful stop
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
