package org.almondjunction.gateway

import org.almondjunction.decisions.TokenQuota

/**
 * A group of callers that share API keys, a priority and a quota.
 *
 * @property priority rank of its requests, 0 is the highest; null if the priority of the route applies
 * @property quota limit for all of its requests together; null if there is none
 */
public data class Tenant(
    val name: String,
    val priority: Int? = null,
    val quota: TokenQuota? = null,
)
