package org.almondjunction.gateway

import org.almondjunction.common.Address
import org.almondjunction.decisions.RepeatLimits

/**
 * Settings of a gateway.
 *
 * @property name identity of this process among gateways
 * @property callers address for callers
 * @property readiness address at which a load balancer polls readiness
 * @property readinessPath path of the readiness check
 * @property keeperPort port of the keeper next to each engine
 * @property graceMs time between a request to stop and the end of the process
 * @property repeats retries that all gateways together may make
 * @property lapseMs time for which an entry is kept after it disappeared while the platform's store was not trusted
 */
public data class GatewaySettings(
    val name: String,
    val place: Place,
    val callers: Address,
    val readiness: Address,
    val readinessPath: String,
    val keeperPort: Int,
    val graceMs: Long = 8_000,
    val repeats: RepeatLimits = RepeatLimits(),
    val lapseMs: Long = 2_000,
)
