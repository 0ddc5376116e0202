package org.almondjunction.gateway

import java.security.MessageDigest
import java.util.Base64

/** The tenants by their API keys; keeps only digests, so that no key can reach a log or a message. */
public class ApiKeys private constructor(
    private val tenantsByDigest: Map<String, Tenant>,
) {
    /** Returns the tenant that holds [key], or null. */
    public fun tenantOf(key: String): Tenant? = tenantsByDigest[digest(key)]

    /** All tenants that hold at least one key. */
    public val tenants: Set<Tenant> get() = tenantsByDigest.values.toSet()

    public companion object {
        /** Returns the table of [keysByTenant]; null if two tenants hold the same key. */
        public fun of(keysByTenant: Map<Tenant, List<String>>): ApiKeys? {
            val table = mutableMapOf<String, Tenant>()
            keysByTenant.forEach { (tenant, keys) ->
                keys.forEach { key -> if (table.put(digest(key), tenant).let { it != null && it != tenant }) return null }
            }
            return ApiKeys(table)
        }

        private fun digest(key: String): String =
            Base64.getEncoder().encodeToString(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))
    }
}
