package org.almondjunction.agent

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.almondjunction.common.AdapterId
import org.almondjunction.common.ModelId
import org.almondjunction.decisions.CheckpointTier
import org.almondjunction.decisions.EngineReport
import org.almondjunction.decisions.Order
import org.almondjunction.decisions.ReportedResident
import org.almondjunction.decisions.ResidentKey

/** JSON body of an order to the engine. */
@Serializable
internal data class OrderDocument(
    val action: String,
    val model: String,
    val version: String,
    val adapter: String? = null,
    @SerialName("adapter_version") val adapterVersion: String? = null,
    @SerialName("memory_mb") val memoryMb: Long = 0,
    val fence: Long,
) {
    companion object {
        fun of(
            order: Order,
            fence: Long,
        ): OrderDocument {
            val key = order.key
            return when (order) {
                is Order.Load ->
                    OrderDocument(
                        "load",
                        key.model.value,
                        key.version,
                        key.adapter?.value,
                        key.adapterVersion,
                        order.memoryMb,
                        fence,
                    )
                is Order.Unload ->
                    OrderDocument(
                        "unload",
                        key.model.value,
                        key.version,
                        key.adapter?.value,
                        key.adapterVersion,
                        fence = fence,
                    )
            }
        }
    }
}

/** JSON body of an engine report. */
@Serializable
internal data class ReportDocument(
    val fence: Long = 0,
    val residents: List<ResidentDocument> = emptyList(),
    val cached: Map<String, String> = emptyMap(),
) {
    fun toReport(): EngineReport =
        EngineReport(
            residents = residents.map { it.toResident() },
            tiers = cached.entries.associate { (model, tier) -> ModelId(model) to CheckpointTier.valueOf(tier.uppercase()) },
        )
}

/** A resident model or adapter in an engine report. */
@Serializable
internal data class ResidentDocument(
    val model: String,
    val version: String,
    val adapter: String? = null,
    @SerialName("adapter_version") val adapterVersion: String? = null,
    @SerialName("memory_mb") val memoryMb: Long,
    val state: String,
) {
    fun toResident(): ReportedResident =
        ReportedResident(
            key = ResidentKey(ModelId(model), version, adapter?.let(::AdapterId), adapterVersion),
            memoryMb = memoryMb,
            loading = state == "loading",
        )
}
