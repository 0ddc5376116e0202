package org.almondjunction.gateway

import org.almondjunction.common.Address
import org.almondjunction.decisions.QuotaLimits
import org.almondjunction.decisions.RetryLimits

/**
 * Settings of a gateway.
 *
 * @property name identity of this process among gateways
 * @property callerAddress address for callers
 * @property readinessAddress address at which a load balancer polls readiness
 * @property readinessPath path of the readiness check
 * @property keeperPort port of the keeper next to each engine
 * @property graceMs time between a request to stop and the end of the process
 * @property retryLimits retries that all gateways together may make
 * @property revocationMs time after which a key that was taken away must no longer be accepted, whatever this process can reach; null if
 * no such limit applies
 * @property quotaLimits how far all gateways together may exceed a quota
 * @property hedgedShare share of the first sends that may be spent on hedged requests, 0 to 0.2; 0 switches them off
 */
public data class GatewaySettings(
    val name: String,
    val topology: Topology,
    val callerAddress: Address,
    val readinessAddress: Address,
    val readinessPath: String,
    val keeperPort: Int,
    val graceMs: Long = 8_000,
    val retryLimits: RetryLimits = RetryLimits(),
    val revocationMs: Long? = null,
    val quotaLimits: QuotaLimits = QuotaLimits(),
    val hedgedShare: Double = 0.0,
)
