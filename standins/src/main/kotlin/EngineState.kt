package org.almondjunction.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An order as the stand-in reads it. */
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

/** Something that the engine holds. */
@Serializable
internal data class EngineResident(
    val model: String,
    val version: String,
    val adapter: String? = null,
    @SerialName("adapter_version") val adapterVersion: String? = null,
    @SerialName("memory_mb") val memoryMb: Long,
    val state: String,
)

/** What the engine holds at one moment. */
@Serializable
internal data class EngineReportDocument(
    val fence: Long,
    val residents: List<EngineResident>,
    val cached: Map<String, String>,
    val load: Int,
)

/** What the engine counted since its start; tests judge by it. */
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
