package org.almondjunction.standins

import com.github.michaelbull.result.Result
import org.almondjunction.common.Address
import org.almondjunction.common.DocumentReader
import org.almondjunction.common.Fault

/**
 * What one process of stand-ins holds.
 *
 * @property hostsFile JSON file with the list of hosts that the platform publishes
 */
public data class StandInSettings(
    val platform: Address,
    val hostsFile: String,
    val loadsPerSecond: Double,
    val engines: List<EngineEntry>,
    val services: List<ServiceEntry>,
) {
    /** One engine. */
    public data class EngineEntry(
        val listen: Address,
        val options: EngineOptions,
    )

    /** One plain service. */
    public data class ServiceEntry(
        val listen: Address,
        val name: String,
    )

    public companion object {
        /** Reads settings from TOML [text]; the error holds every fault. */
        public fun read(
            file: String,
            text: String,
        ): Result<StandInSettings, List<Fault>> =
            DocumentReader.read(file, text) {
                StandInSettings(
                    platform = address("platform"),
                    hostsFile = string("hosts_file"),
                    loadsPerSecond = double("loads_per_second", default = 1.5, range = 0.01..1_000.0),
                    engines = tables("engine") { engine() },
                    services = tables("service") { ServiceEntry(address("listen"), string("name")) },
                )
            }

        private fun DocumentReader.engine() =
            EngineEntry(
                listen = address("listen"),
                options =
                    EngineOptions(
                        memoryMb = long("memory_mb"),
                        tokenMs = long("token_ms", default = 5),
                        honoursFence = boolean("honours_fence", default = false),
                        cachedOnDisk = strings("cached_on_disk").toSet(),
                    ),
            )
    }
}
