package org.almondjunction.entry

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.almondjunction.common.Outcome
import org.almondjunction.common.RequestId

/** Problem document as in RFC 9457. */
@Serializable
internal data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String? = null,
    val outcome: String,
    val reason: String,
    val requestId: String,
) {
    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        /** Returns the document for an outcome other than served. */
        fun of(
            outcome: Outcome,
            id: RequestId,
        ): Problem? =
            when (outcome) {
                Outcome.Served -> null
                is Outcome.NotRun ->
                    Problem(
                        type = "urn:almondjunction:refusal:${outcome.reason.code}",
                        title = outcome.reason.title,
                        status = outcome.reason.httpStatus,
                        detail = outcome.detail.ifEmpty { null },
                        outcome = outcome.headerValue,
                        reason = outcome.reason.code,
                        requestId = id.value,
                    )
                is Outcome.Unknown ->
                    Problem(
                        type = "urn:almondjunction:unknown:${outcome.reason.code}",
                        title = outcome.reason.title,
                        status = outcome.reason.httpStatus,
                        detail = outcome.detail.ifEmpty { null },
                        outcome = outcome.headerValue,
                        reason = outcome.reason.code,
                        requestId = id.value,
                    )
            }
    }
}
