package org.almondjunction.common

import org.tinylog.ThreadContext
import org.tinylog.kotlin.Logger

/** Writes structured log lines; every field is a column of the JSON line. */
public object EventLog {
    /** Logs [message] at level info. */
    public fun info(
        message: String,
        fields: LogFields = LogFields(),
    ): Unit = fields.during { Logger.info { message } }

    /** Logs [message] at level warn. */
    public fun warn(
        message: String,
        fields: LogFields = LogFields(),
    ): Unit = fields.during { Logger.warn { message } }

    /** Logs [message] at level error. */
    public fun error(
        message: String,
        fields: LogFields = LogFields(),
    ): Unit = fields.during { Logger.error { message } }
}

/**
 * Fields of one log line; null fields are left empty.
 *
 * @property extra further inputs of the decision that the line tells of
 */
public data class LogFields(
    val requestId: RequestId? = null,
    val target: TargetId? = null,
    val outcome: String? = null,
    val reason: String? = null,
    val extra: Map<String, String?> = emptyMap(),
) {
    internal fun during(log: () -> Unit) {
        (mapOf("requestId" to requestId?.value, "target" to target?.value, "outcome" to outcome, "reason" to reason) + extra)
            .forEach { (key, value) -> if (value == null) ThreadContext.remove(key) else ThreadContext.put(key, value) }
        log()
        ThreadContext.clear()
    }
}
