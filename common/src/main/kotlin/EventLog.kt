package org.almondjunction.common

import org.tinylog.ThreadContext
import org.tinylog.kotlin.Logger

/** Writes structured log lines; every field is a member of the JSON object. */
public object EventLog {
    public fun info(
        message: String,
        fields: LogFields = LogFields(),
    ): Unit = fields.withThreadContext { Logger.info { message } }

    public fun warn(
        message: String,
        fields: LogFields = LogFields(),
    ): Unit = fields.withThreadContext { Logger.warn { message } }

    public fun error(
        message: String,
        fields: LogFields = LogFields(),
    ): Unit = fields.withThreadContext { Logger.error { message } }
}

/**
 * Fields of one log line; null fields are omitted.
 *
 * @property extra further fields by name, such as inputs of the logged decision
 */
public data class LogFields(
    val requestId: RequestId? = null,
    val target: TargetId? = null,
    val outcome: String? = null,
    val reason: String? = null,
    val extra: Map<String, String?> = emptyMap(),
) {
    internal fun withThreadContext(log: () -> Unit) {
        (mapOf("requestId" to requestId?.value, "target" to target?.value, "outcome" to outcome, "reason" to reason) + extra)
            .forEach { (key, value) -> if (value == null) ThreadContext.remove(key) else ThreadContext.put(key, value) }
        log()
        ThreadContext.clear()
    }
}
