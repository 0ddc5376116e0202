package org.almondjunction.gateway

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EventSplitterTest {
    @Test
    fun `only complete events are returned, however the bytes are split`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 12, iterations = 300), Arb.long()) { seed ->
                val random = Random(seed)
                val lineEnd = if (random.nextBoolean()) "\n" else "\r\n"
                val events = List(random.nextInt(0, 8)) { "id: $it${lineEnd}data: ${"x".repeat(random.nextInt(0, 40))}$lineEnd$lineEnd" }
                val incomplete = if (random.nextBoolean()) "id: 99${lineEnd}data: part" else ""
                val bytes = (events.joinToString("") + incomplete).toByteArray()
                val splitter = EventSplitter()
                val out = StringBuilder()
                var position = 0
                while (position < bytes.size) {
                    val end = minOf(bytes.size, position + random.nextInt(1, 30))
                    out.append(splitter.feed(bytes.copyOfRange(position, end)).decodeToString())
                    position = end
                }
                assertEquals(events.joinToString(""), out.toString(), "seed $seed")
                assertEquals(incomplete.isNotEmpty(), splitter.hasIncompleteEvent, "seed $seed")
                assertEquals(events.indices.lastOrNull()?.toString(), splitter.lastEvent, "seed $seed")
            }
        }

    // Guards against an identity that adds a header to the request with which a stream is resumed.
    @Test
    fun `the identity of an event ends with its line`() {
        val identities = mapOf("id: 7\n" to "7", "id:7\r\n" to "7", "id: 7\rX-Other: y\n" to "7", "id: 7 \r\r\n" to "7", "id:\n" to "")
        for ((line, identity) in identities) {
            val splitter = EventSplitter()
            splitter.feed("id: 6\ndata: a\n\n${line}data: b\n\n".toByteArray())
            assertEquals(identity, splitter.lastEvent, line)
        }
    }

    // Guards against bytes that are no events, but have empty lines and so kept a stream alive without end.
    @Test
    fun `an empty line ends an event only if a field precedes it`() {
        val cases =
            mapOf(
                "data: a\n\n" to 9,
                "event: a\r\n\r\n" to 12,
                "id:\n\n" to 5,
                "x-other: 1\nid: 2\n\n" to 18,
                "\n\n" to 0,
                ": a comment\n\n" to 0,
                "<html></html>\r\n\r\n" to 0,
                "database: a\n\n" to 0,
                "\tdata: a\n\n" to 0,
                "data: a\n\n: a comment\n\n" to 9,
                ": a comment\n\ndata: a\n\n" to 22,
            )
        for ((text, completeBytes) in cases) {
            val whole = EventSplitter()
            assertEquals(completeBytes, whole.feed(text.toByteArray()).size, text)
            assertEquals(text.drop(completeBytes), whole.takePending().decodeToString(), text)
            assertEquals(false, whole.hasIncompleteEvent, text)
            val single = EventSplitter()
            assertEquals(completeBytes, text.toByteArray().sumOf { single.feed(byteArrayOf(it)).size }, "$text, byte by byte")
        }
    }

    @Test
    fun `an incomplete event is discarded, and the next event is returned as a complete one`() {
        val splitter = EventSplitter()
        splitter.feed("id: 1\ndata: a\n\nid: 2\nda".toByteArray())
        splitter.discardIncompleteEvent()
        assertEquals("id: 2\ndata: b\n\n", splitter.feed("id: 2\ndata: b\n\n".toByteArray()).decodeToString())
        assertEquals("2", splitter.lastEvent)
        assertTrue(!splitter.hasIncompleteEvent)
    }
}
