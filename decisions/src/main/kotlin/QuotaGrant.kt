package org.almondjunction.decisions

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Answer to a [QuotaWant].
 *
 * @property units units that the gateway may spend
 * @property batch number to return them under
 * @property validityMs time for which they may be spent, counted from the gateway's request
 * @property waitMs time until more are available; 0 if no request is left without units
 */
@Serializable
public data class QuotaGrant(
    @SerialName("n") val tenant: String,
    @SerialName("u") val units: Long = 0,
    @SerialName("b") val batch: Long = 0,
    @SerialName("d") val validityMs: Long = 0,
    @SerialName("w") val waitMs: Long = 0,
)
