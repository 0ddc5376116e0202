package org.almondjunction.decisions

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What a gateway wants for one tenant.
 *
 * @property version version of the configuration that [bounds] come from
 * @property costs units that its waiting requests still need, in their order
 * @property ahead units that it wants for the near future
 * @property returned unspent units of earlier grants
 */
@Serializable
public data class QuotaWant(
    @SerialName("n") val tenant: String,
    @SerialName("v") val version: Long,
    @SerialName("l") val bounds: QuotaBounds,
    @SerialName("c") val costs: List<Long> = emptyList(),
    @SerialName("a") val ahead: Long = 0,
    @SerialName("u") val returned: List<ReturnedUnits> = emptyList(),
)

/**
 * Unspent units of grants.
 *
 * @property lease identity of the lease under which they were granted
 * @property batch number of their batch under that lease
 */
@Serializable
public data class ReturnedUnits(
    @SerialName("t") val lease: Long,
    @SerialName("b") val batch: Long,
    @SerialName("u") val units: Long,
)
