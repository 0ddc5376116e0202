package org.almondjunction.common

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.tinylog.core.LogEntry
import org.tinylog.core.LogEntryValue
import org.tinylog.writers.Writer
import java.io.PrintStream

/**
 * Writes each log entry as one JSON object on a line of the standard error stream, or of the standard output stream.
 *
 * The library's own JSON writer needs a file that it can seek in, and hosts have no disks.
 */
public class JsonLinesWriter(
    private val output: PrintStream,
) : Writer {
    /** Constructor that tinylog calls with the properties of the writer; `stream` is `err` or `out`. */
    @Suppress("unused")
    public constructor(properties: Map<String, String>) : this(if (properties["stream"] == "out") System.out else System.err)

    override fun getRequiredLogEntryValues(): Collection<LogEntryValue> =
        setOf(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.CONTEXT, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION)

    override fun write(logEntry: LogEntry) {
        val line =
            buildJsonObject {
                put("time", logEntry.timestamp.toInstant().toString())
                put("level", logEntry.level.name.lowercase())
                put("message", logEntry.message)
                logEntry.context.forEach { (key, value) -> put(key, value) }
                logEntry.exception?.let { put("exception", it.stackTraceToString()) }
            }
        output.println(line)
    }

    override fun flush(): Unit = output.flush()

    override fun close(): Unit = Unit
}
