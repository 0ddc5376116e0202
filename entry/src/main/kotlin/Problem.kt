package org.almondjunction.entry

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.almondjunction.common.Outcome
import org.almondjunction.common.RequestId

/** Problem document of RFC 9457. */
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
        /** Returns the document for [outcome]; null when the request was served. */
        fun of(
            outcome: Outcome,
            id: RequestId,
        ): Problem? =
            when (outcome) {
                Outcome.Served -> null
                is Outcome.NotRun -> outcome.reason.run { problem(outcome, "refusal:$code", title, httpStatus, code, outcome.detail, id) }
                is Outcome.Unknown -> outcome.reason.run { problem(outcome, "unknown:$code", title, httpStatus, code, outcome.detail, id) }
            }

        private fun problem(
            outcome: Outcome,
            type: String,
            title: String,
            status: Int,
            reason: String,
            detail: String,
            id: RequestId,
        ) = Problem("urn:almondjunction:$type", title, status, detail.ifEmpty { null }, outcome.headerValue, reason, id.value)
    }
}
