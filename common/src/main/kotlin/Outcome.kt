package org.almondjunction.common

/** Outcome of one request, as reported to its caller. */
public sealed class Outcome {
    /** Value of the `X-Outcome` header. */
    public abstract val headerValue: String

    /** The complete answer was delivered. */
    public data object Served : Outcome() {
        override val headerValue: String get() = "served"
    }

    /** The request has not run and will not run later under the same request id. */
    public data class NotRun(
        val reason: RefusalReason,
        val detail: String = "",
    ) : Outcome() {
        override val headerValue: String get() = "not-run"
    }

    /** The request may have run in part or whole; no complete answer can be delivered. */
    public data class Unknown(
        val reason: UnknownReason,
        val detail: String = "",
    ) : Outcome() {
        override val headerValue: String get() = "unknown"
    }
}

/** Why a request was refused before it ran. [httpStatus] is the status its caller gets. */
public enum class RefusalReason(
    public val httpStatus: Int,
    public val title: String,
) {
    MALFORMED_REQUEST(400, "The request cannot be read"),
    BODY_TOO_LARGE(413, "The request body is over the limit"),
    MODEL_NOT_OFFERED(404, "The model is not offered"),
    SERVICE_NOT_OFFERED(404, "The service is not offered"),
    IDEMPOTENCY_KEY_REUSED(422, "The idempotency key belongs to another request"),
    IDEMPOTENCY_STORE_UNAVAILABLE(503, "The idempotency key cannot be recorded"),
    NOT_READY(503, "This process has no accepted state"),
    NO_TARGET(503, "No target can take the request"),
    QUEUE_FULL(503, "The queue of the target is full"),
    DEADLINE_TOO_SHORT(503, "The request cannot finish before its deadline"),
    DEADLINE_PASSED(504, "The deadline passed while the request was waiting"),
    LEAVING(503, "The process is shutting down"),
    RETRY_BUDGET_SPENT(503, "Too many retries are in progress"),
    NO_RIGHT(503, "The target holds no right to load the model"),
    NO_MEMORY(503, "The target has no memory for the model"),
    CANCELLED(499, "The caller cancelled the request"),
    ;

    /** Name used in metrics and problem documents. */
    public val code: String get() = name.lowercase().replace('_', '-')

    /** Whether another target may still serve the request. */
    public val retryableOnAnotherTarget: Boolean
        get() = this in setOf(QUEUE_FULL, LEAVING, NO_RIGHT, NO_MEMORY, NOT_READY, NO_TARGET, DEADLINE_TOO_SHORT)

    /** Whether the condition is expected to clear within seconds, such as during a process restart or while a ticket propagates. */
    public val transient: Boolean get() = this in setOf(LEAVING, NO_RIGHT, NOT_READY, NO_TARGET)
}

/** Why the outcome of a request is not known. [httpStatus] is the status its caller gets; it is none of [RefusalStatus]. */
public enum class UnknownReason(
    public val httpStatus: Int,
    public val title: String,
) {
    TARGET_LOST(502, "The target was lost while the request was running"),
    TARGET_SILENT(504, "The target did not answer in time"),
    ANSWER_INCOMPLETE(502, "The target ended its answer early"),
    EARLIER_ATTEMPT(409, "An earlier attempt with this idempotency key has no known outcome"),
    INTERRUPTED(502, "The process ended before the answer was complete"),
    ;

    /** Name used in metrics and problem documents. */
    public val code: String get() = name.lowercase().replace('_', '-')
}
