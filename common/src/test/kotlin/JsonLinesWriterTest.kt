package org.almondjunction.common

import org.tinylog.Level
import org.tinylog.core.LogEntry
import org.tinylog.runtime.RuntimeProvider
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class JsonLinesWriterTest {
    /** A stream whose reader does not read until it is told to. */
    private class StuckStream : OutputStream() {
        val written = ByteArrayOutputStream()
        val reached = CountDownLatch(1)
        val released = CountDownLatch(1)

        override fun write(byte: Int) = write(byteArrayOf(byte.toByte()), 0, 1)

        override fun write(
            bytes: ByteArray,
            offset: Int,
            length: Int,
        ) {
            reached.countDown()
            released.await()
            written.write(bytes, offset, length)
        }
    }

    private fun entry(message: String) =
        LogEntry(RuntimeProvider.createTimestamp(), null, emptyMap(), null, null, null, -1, null, Level.INFO, message, null)

    @Test
    fun `whoever logs never waits, and what is dropped is counted`() {
        val stream = StuckStream()
        val writer = JsonLinesWriter(PrintStream(stream, true), capacity = 3)
        writer.write(entry("first"))
        stream.reached.await()
        repeat(10) { writer.write(entry("line $it")) }
        stream.released.countDown()
        writer.close()
        val lines =
            stream.written
                .toString()
                .trim()
                .lines()
        assertEquals(4, lines.size, lines.toString())
        assertTrue("\"dropped\":7" in lines[1], lines.toString())
    }
}
