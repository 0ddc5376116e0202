package org.almondjunction.gateway

import org.almondjunction.common.Clock
import org.almondjunction.decisions.ApiKeyAdmission
import org.almondjunction.decisions.PresentedKey
import org.almondjunction.network.RequestHead

/** Finds the route of a request and checks the API key of its caller. */
internal class RequestAdmission(
    private val state: GatewayState,
    private val names: HeaderNames,
    private val clock: Clock,
) {
    /** Decision on one request. */
    sealed class Decision {
        /** The request may be forwarded; [tenant] is null if its route needs no key. */
        class Admitted(
            val route: Route,
            val tenant: Tenant?,
        ) : Decision()

        /** The request does not run. */
        class Refused(
            val status: Int,
            val reason: String,
            val retryAfterMs: Long? = null,
        ) : Decision()
    }

    /** Decides on the request with [head] to [host]; waits for a short time if the proof that a key needs is too old. */
    suspend fun decide(
        head: RequestHead,
        host: String,
    ): Decision {
        val startedMs = clock.nowMs()
        while (true) {
            val seen = state.changed.count
            val configuration = state.configuration ?: return NO_CONFIGURATION
            val route = configuration.route(head, host) ?: return NO_ROUTE
            val keys = configuration.apiKeys
            if (keys == null || route.public) return Decision.Admitted(route, tenant = null)
            val presented = PresentedKey.of(head.headers.all(names.apiKey)) { keys.tenantOf(it) }
            when (val admission = ApiKeyAdmission.of(presented, state.proof.ageMs, state.proof.limits)) {
                is ApiKeyAdmission.Admitted -> return Decision.Admitted(route, admission.tenant)
                is ApiKeyAdmission.Unauthorized -> return Decision.Refused(UNAUTHORIZED, admission.reason)
                is ApiKeyAdmission.ProofRequired -> {
                    val leftMs = startedMs + PROOF_WAIT_MS - clock.nowMs()
                    if (leftMs <= 0) return Decision.Refused(SERVICE_UNAVAILABLE, admission.reason, RETRY_WITHOUT_PROOF_MS)
                    state.changed.await(seen, leftMs)
                }
            }
        }
    }

    private fun GatewayConfiguration.route(
        head: RequestHead,
        host: String,
    ): Route? {
        val path = head.target.substringBefore('?')
        return route(host.substringBeforeLast(':'), path) ?: route(host, path)
    }

    private companion object {
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val SERVICE_UNAVAILABLE = 503
        val NO_CONFIGURATION = Decision.Refused(SERVICE_UNAVAILABLE, "no configuration yet", retryAfterMs = 500)
        val NO_ROUTE = Decision.Refused(NOT_FOUND, "no route")

        /** A host that was suspended needs one call to the store, which takes less than this. */
        const val PROOF_WAIT_MS = 300L

        /** The caller is expected to use another gateway; this one needs the store first. */
        const val RETRY_WITHOUT_PROOF_MS = 500L
    }
}
