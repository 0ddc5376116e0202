package org.almondjunction.gateway

import org.almondjunction.common.Address
import org.almondjunction.decisions.RetryLimits

/**
 * Settings of a gateway.
 *
 * @property name identity of this process among gateways
 * @property callers address for callers
 * @property readiness address at which a balancer asks whether callers may come
 * @property readinessPath path of that question
 * @property keeperPort port of the keeper beside each engine
 * @property graceMs time between a request to stop and the end of the process
 * @property repeats repeats that all gateways together may make
 * @property lapseMs time for which an entry that vanished with the platform's store is still believed
 */
public data class GatewaySettings(
    val name: String,
    val place: Place,
    val callers: Address,
    val readiness: Address,
    val readinessPath: String,
    val keeperPort: Int,
    val graceMs: Long = 8_000,
    val repeats: RetryLimits = RetryLimits(),
    val lapseMs: Long = 2_000,
)
