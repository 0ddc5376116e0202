package org.almondjunction.common

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.tinylog.core.LogEntry
import org.tinylog.core.LogEntryValue
import org.tinylog.writers.Writer
import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Writes each log entry as one JSON object on a line of the standard error stream, or of the standard output stream.
 *
 * Logging never blocks the caller: a background thread writes the entries, and further entries are dropped while [capacity] entries are
 * queued. The next line written has the number of dropped entries in the field `dropped`. This class replaces the JSON writer of tinylog,
 * which needs a seekable file, since hosts have no disks.
 */
public class JsonLinesWriter(
    private val output: PrintStream,
    capacity: Int = DEFAULT_CAPACITY,
) : Writer {
    /** Constructor that tinylog calls with the properties of the writer; `stream` is `err` or `out`. */
    @Suppress("unused")
    public constructor(properties: Map<String, String>) : this(if (properties["stream"] == "out") System.out else System.err)

    /** Log entries, and [EndMarker], which wakes the worker when the writer is closed. */
    private val queue = ArrayBlockingQueue<Any>(capacity)
    private val dropped = AtomicLong()

    @Volatile
    private var closed = false
    private val worker = thread(name = "log", isDaemon = true) { writeQueuedEntries() }

    init {
        Runtime.getRuntime().addShutdownHook(Thread { close() })
    }

    override fun getRequiredLogEntryValues(): Collection<LogEntryValue> =
        setOf(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.CONTEXT, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION)

    override fun write(logEntry: LogEntry) {
        if (!queue.offer(logEntry)) dropped.incrementAndGet()
    }

    private fun writeQueuedEntries() {
        while (!closed || queue.isNotEmpty()) {
            val entry = queue.take()
            if (entry is LogEntry) output.println(encode(entry, dropped.getAndSet(0)))
        }
        output.flush()
    }

    private fun encode(
        entry: LogEntry,
        droppedCount: Long,
    ) = buildJsonObject {
        put("time", entry.timestamp.toInstant().toString())
        put("level", entry.level.name.lowercase())
        put("message", entry.message)
        entry.context.forEach { (key, value) -> put(key, value) }
        entry.exception?.let { put("exception", it.stackTraceToString()) }
        if (droppedCount > 0) put("dropped", droppedCount)
    }

    override fun flush(): Unit = Unit

    override fun close() {
        closed = true
        queue.offer(EndMarker)
        worker.join(CLOSE_TIMEOUT_MS)
    }

    private object EndMarker

    private companion object {
        /** About two seconds of entries on a host under full load. */
        const val DEFAULT_CAPACITY = 2_048

        /** Limit for writing the queued entries when the process ends; writing a full queue takes far less. */
        const val CLOSE_TIMEOUT_MS = 500L
    }
}
