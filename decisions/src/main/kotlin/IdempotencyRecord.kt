package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import org.almondjunction.common.RequestId

/**
 * Durable record of one caller's idempotency key.
 *
 * @property requestDigest digest of the request; another request under the same key is refused
 * @property requestId identity of the first request, the only one that may run
 * @property answer the recorded answer; null while it is not known
 * @property notRun whether it is known that the first request did not run and never will
 */
@Serializable
public data class IdempotencyRecord(
    val requestDigest: String,
    val requestId: RequestId,
    val answer: RecordedAnswer? = null,
    val notRun: Boolean = false,
)

/** A recorded answer, which is delivered again to repeated requests. */
@Serializable
public data class RecordedAnswer(
    val status: Int,
    val contentType: String?,
    val body: String,
)
