package org.almondjunction.decisions

/** Decision on a request whose route requires an API key. */
public sealed class ApiKeyAdmission<out T> {
    /** The request may run for [tenant]. */
    public data class Admitted<T>(
        val tenant: T,
    ) : ApiKeyAdmission<T>()

    /** No tenant holds the key, and no newer configuration is to be expected in which one does. */
    public data class Unauthorized(
        val reason: String,
    ) : ApiKeyAdmission<Nothing>()

    /** A newer configuration may exist that would decide differently. */
    public data class ProofRequired(
        val reason: String,
    ) : ApiKeyAdmission<Nothing>()

    public companion object {
        /** Decides on [presented]; [proofAgeMs] is the age of the proof that the configuration in force is the newest, null if there is none. */
        public fun <T> of(
            presented: PresentedKey<T>,
            proofAgeMs: Long?,
            limits: ApiKeyLimits,
        ): ApiKeyAdmission<T> =
            when (presented) {
                PresentedKey.Unusable -> Unauthorized("no usable API key")
                PresentedKey.Unknown ->
                    if (limits.mayRefuseUnknownKeys(proofAgeMs)) {
                        Unauthorized("unknown API key")
                    } else {
                        ProofRequired("the API key may be in a newer configuration")
                    }
                is PresentedKey.Held ->
                    if (limits.isFresh(proofAgeMs)) {
                        Admitted(presented.tenant)
                    } else {
                        ProofRequired("the API key may have been removed")
                    }
            }
    }
}
