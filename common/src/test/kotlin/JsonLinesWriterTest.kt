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
    /** Stream whose writes block until [released] is counted down. */
    private class BlockedStream : OutputStream() {
        val written = ByteArrayOutputStream()
        val writeStarted = CountDownLatch(1)
        val released = CountDownLatch(1)

        override fun write(byte: Int) = write(byteArrayOf(byte.toByte()), 0, 1)

        override fun write(
            bytes: ByteArray,
            offset: Int,
            length: Int,
        ) {
            writeStarted.countDown()
            released.await()
            written.write(bytes, offset, length)
        }
    }

    private fun entry(message: String) =
        LogEntry(RuntimeProvider.createTimestamp(), null, emptyMap(), null, null, null, -1, null, Level.INFO, message, null)

    @Test
    fun `logging never blocks the caller and dropped entries are counted`() {
        val stream = BlockedStream()
        val writer = JsonLinesWriter(PrintStream(stream, true), capacity = 3)
        writer.write(entry("first"))
        stream.writeStarted.await()
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
