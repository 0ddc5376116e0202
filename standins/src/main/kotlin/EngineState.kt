package org.almondjunction.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Order to load or unload a model or one of its adapters.
 *
 * @property action `load`; any other value unloads
 * @property fence fencing number of the sender
 */
@Serializable
internal data class EngineOrder(
    val action: String,
    val model: String,
    val version: String,
    val adapter: String? = null,
    @SerialName("adapter_version") val adapterVersion: String? = null,
    @SerialName("memory_mb") val memoryMb: Long = 0,
    val fence: Long,
)

/**
 * Model or adapter in the engine's memory.
 *
 * @property state `loading` or `loaded`
 */
@Serializable
internal data class EngineResident(
    val model: String,
    val version: String,
    val adapter: String? = null,
    @SerialName("adapter_version") val adapterVersion: String? = null,
    @SerialName("memory_mb") val memoryMb: Long,
    val state: String,
)

/**
 * State of the engine at one moment.
 *
 * @property fence highest fencing number so far
 * @property cached `disk` or `memory` by model, the place from which the next load reads
 * @property load generations in progress
 */
@Serializable
internal data class EngineReportDocument(
    val fence: Long,
    val residents: List<EngineResident>,
    val cached: Map<String, String>,
    val load: Int,
)

/**
 * Memory use of the engine and counts since its start.
 *
 * @property memoryMb memory reserved now, with models that are still loading
 * @property peakMemoryMb highest [memoryMb] so far
 * @property overcommits loads after which [memoryMb] exceeded the engine's memory
 * @property loads loads by model, version, adapter and adapter version, joined by slashes
 * @property runs accepted completion requests by request identity
 * @property cancels cancellations received, also of unknown or ended requests
 */
@Serializable
public data class EngineCounts(
    val memoryMb: Long,
    val peakMemoryMb: Long,
    val overcommits: Long,
    val loads: Map<String, Long>,
    val runs: Map<String, Int>,
    val cancels: Long,
    val refusedOrders: Long,
)
