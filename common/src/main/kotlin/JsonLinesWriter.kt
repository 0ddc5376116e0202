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
 * Whoever logs never waits: a thread of its own writes, and lines beyond [capacity] waiting ones are dropped; the next line that is
 * written tells how many, in the field `dropped`. The library's own JSON writer needs a file that it can seek in, and hosts have no disks.
 */
public class JsonLinesWriter(
    private val output: PrintStream,
    capacity: Int = DEFAULT_CAPACITY,
) : Writer {
    /** Constructor that tinylog calls with the properties of the writer; `stream` is `err` or `out`. */
    @Suppress("unused")
    public constructor(properties: Map<String, String>) : this(if (properties["stream"] == "out") System.out else System.err)

    /** Entries, and [End] to wake the worker when nothing else will come. */
    private val waiting = ArrayBlockingQueue<Any>(capacity)
    private val dropped = AtomicLong()

    @Volatile
    private var closed = false
    private val worker = thread(name = "log", isDaemon = true) { run() }

    init {
        Runtime.getRuntime().addShutdownHook(Thread { close() })
    }

    override fun getRequiredLogEntryValues(): Collection<LogEntryValue> =
        setOf(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.CONTEXT, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION)

    override fun write(logEntry: LogEntry) {
        if (!waiting.offer(logEntry)) dropped.incrementAndGet()
    }

    private fun run() {
        while (!closed || waiting.isNotEmpty()) {
            val entry = waiting.take()
            if (entry is LogEntry) output.println(encode(entry, dropped.getAndSet(0)))
        }
        output.flush()
    }

    private fun encode(
        entry: LogEntry,
        lost: Long,
    ) = buildJsonObject {
        put("time", entry.timestamp.toInstant().toString())
        put("level", entry.level.name.lowercase())
        put("message", entry.message)
        entry.context.forEach { (key, value) -> put(key, value) }
        entry.exception?.let { put("exception", it.stackTraceToString()) }
        if (lost > 0) put("dropped", lost)
    }

    override fun flush(): Unit = Unit

    override fun close() {
        closed = true
        waiting.offer(End)
        worker.join(LONGEST_CLOSE_MS)
    }

    private object End

    private companion object {
        /** Lines of about two seconds at the rate of a host under full load. */
        const val DEFAULT_CAPACITY = 2_048

        /** Time for the last lines at the end of the process; far above what the queue takes to write. */
        const val LONGEST_CLOSE_MS = 500L
    }
}
