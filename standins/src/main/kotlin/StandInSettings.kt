package org.almondjunction.standins

import com.github.michaelbull.result.Result
import org.almondjunction.common.Address
import org.almondjunction.common.DocumentReader
import org.almondjunction.common.Fault

/**
 * Settings of one process of stand-ins.
 *
 * @property platform listen address of the platform stand-in
 * @property hostsFile JSON file with the list of hosts that the platform publishes
 * @property loadsPerSecond checkpoints that the weight store delivers per second, 0.01 to 1000
 */
public data class StandInSettings(
    val platform: Address,
    val hostsFile: String,
    val loadsPerSecond: Double,
    val engines: List<EngineSettings>,
    val services: List<ServiceSettings>,
) {
    /** Settings of one engine stand-in. */
    public data class EngineSettings(
        val listen: Address,
        val options: EngineOptions,
    )

    /** Settings of one plain service stand-in. */
    public data class ServiceSettings(
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
                    services = tables("service") { ServiceSettings(address("listen"), string("name")) },
                )
            }

        private fun DocumentReader.engine() =
            EngineSettings(
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
