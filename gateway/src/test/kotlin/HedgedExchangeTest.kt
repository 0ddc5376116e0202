package org.almondjunction.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.almondjunction.decisions.RetryLimits
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpReader
import org.almondjunction.network.ReadResult
import org.almondjunction.network.RequestHead
import org.almondjunction.network.TcpConnection
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Tests a gateway with hedged requests and two targets on loopback; the script holds one behavior for each send of a slow request. */
class HedgedExchangeTest {
    private val fixture = GatewayFixture()
    private val script = ArrayDeque<suspend (TcpConnection, RequestHead) -> Unit>()
    private val seen = mutableListOf<RequestHead>()
    private val closed = mutableListOf<String>()

    @AfterTest
    fun stop(): Unit = fixture.close()

    /** Starts the gateway, and serves as many fast requests as it needs to know what is slow. */
    private fun start(
        retryKind: RetrySafety,
        streaming: Boolean = false,
        share: Double = 0.2,
        maximumTargets: Int = 2,
        retryLimits: RetryLimits = RetryLimits(),
    ) {
        fixture.gateway.applySettings(fixture.settings.copy(hedgedShare = share, retryLimits = retryLimits))
        fixture.start(GatewayFixture.route(retryKind, streaming).copy(maximumTargets = maximumTargets)) { target(it, streaming) }
        repeat(WARM_UP_REQUESTS) { assertEquals("200", statusOf(ask("w$it"))) }
    }

    private suspend fun target(
        connection: TcpConnection,
        streaming: Boolean,
    ) {
        val reader = HttpReader(connection)
        while (true) {
            val head = (reader.requestHead(9_999) as? HeadResult.Read)?.head ?: return
            if (head.headers["Id"] != SLOW) {
                connection.write(
                    (if (streaming) stream("${head.headers["Id"]}", 1) else plain("${head.headers["Id"]}", 200, "ok")).toByteArray(),
                )
            } else {
                seen += head
                script.removeFirst()(connection, head)
            }
        }
    }

    private fun plain(
        id: String,
        status: Int,
        body: String,
    ) = "HTTP/1.1 $status X\r\nId: $id\r\nSignature: s\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private fun streamHead(id: String) = "HTTP/1.1 200 OK\r\nId: $id\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"

    private fun event(number: Int): String = "id: $number\ndata: e\n\n".let { "${it.length.toString(16)}\r\n$it\r\n" }

    private fun stream(
        id: String,
        vararg events: Int,
    ) = streamHead(id) + events.joinToString("") { event(it) } + "0\r\n\r\n"

    private fun ask(
        id: String = SLOW,
        deadlineMs: Long = 15_000,
    ): String = fixture.ask("GET /x HTTP/1.1\r\nHost: h\r\nId: $id\r\nDeadline: $deadlineMs\r\nConnection: close\r\n\r\n")

    /** Sends the slow request; its connection must end with the answer, not when the other target counts as silent. */
    private fun askInTime(): String {
        val beganMs = fixture.loop.clock.nowMs()
        return ask().also { assertTrue(fixture.loop.clock.nowMs() - beganMs < ABANDON_LIMIT_MS, "the abandoned send was awaited") }
    }

    private fun statusOf(answer: String) = answer.substringAfter(' ').take(3)

    private fun answering(
        text: String,
        afterMs: Long = 0,
    ): suspend (TcpConnection, RequestHead) -> Unit =
        { connection, _ ->
            delay(afterMs)
            connection.write(text.toByteArray())
        }

    private fun refusing(afterMs: Long = 0) = answering("HTTP/1.1 503 X\r\nId: $SLOW\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", afterMs)

    private fun closing(afterMs: Long = 0): suspend (TcpConnection, RequestHead) -> Unit =
        { connection, _ ->
            delay(afterMs)
            connection.close()
        }

    /** Sends [begin] and nothing more, and records when the gateway closes the connection. */
    private fun silent(begin: String = ""): suspend (TcpConnection, RequestHead) -> Unit =
        { connection, head ->
            if (begin.isNotEmpty()) connection.write(begin.toByteArray())
            while (connection.fill() == ReadResult.DATA) Unit
            closed += "${head.headers["Target"]}"
        }

    private fun <T> onLoop(block: suspend () -> T): T = runBlocking { withContext(fixture.scope.coroutineContext) { block() } }

    private fun awaitClosed(count: Int) {
        val limitMs = System.currentTimeMillis() + CLOSE_LIMIT_MS
        while (onLoop { closed.size } < count && System.currentTimeMillis() < limitMs) Thread.sleep(5)
        assertEquals(count, onLoop { closed.size }, "connections that the gateway closed")
    }

    private val sends: Int get() = onLoop { seen.size }

    @Test
    fun `a fast second target answers instead of a slow one, whose connection is closed`() {
        start(RetrySafety.IDEMPOTENT)
        script += silent()
        script += answering(plain(SLOW, 200, "second"))
        val answer = askInTime()
        assertEquals("200", statusOf(answer), answer)
        assertEquals("second", answer.substringAfter("\r\n\r\n"))
        awaitClosed(1)
        assertEquals(2, sends)
        assertNotEquals(seen[0].headers["Target"], seen[1].headers["Target"])
        assertEquals(seen[0].headers["Target"], closed.single())
        val deadlinesMs = seen.map { "${it.headers["Deadline"]}".toLong() }
        assertTrue(deadlinesMs[1] < deadlinesMs[0], "$deadlinesMs")
    }

    @Test
    fun `the first target answers although a second send has begun, and the second connection is closed`() {
        start(RetrySafety.IDEMPOTENT)
        script += answering(plain(SLOW, 200, "first"), afterMs = 150)
        script += silent("HTTP/1.1 200 OK\r\nId: $SLOW\r\nSignature: s\r\nContent-Length: 9\r\n\r\npart")
        assertEquals("first", askInTime().substringAfter("\r\n\r\n"))
        awaitClosed(1)
        assertEquals(2, sends)
    }

    private data class Single(
        val reason: String,
        val retryKind: RetrySafety = RetrySafety.IDEMPOTENT,
        val share: Double = 0.2,
        val maximumTargets: Int = 2,
        val retryLimits: RetryLimits = RetryLimits(),
    )

    private fun checkSingle(case: Single) {
        start(case.retryKind, share = case.share, maximumTargets = case.maximumTargets, retryLimits = case.retryLimits)
        script += answering(plain(SLOW, 200, "first"), afterMs = 200)
        assertEquals("first", ask().substringAfter("\r\n\r\n"), case.reason)
        assertEquals(1, sends, case.reason)
    }

    @Test
    fun `with share 0 a slow request is sent once`() = checkSingle(Single("share 0", share = 0.0))

    @Test
    fun `a slow request that may run only once is sent once`() = checkSingle(Single("runs once", RetrySafety.ONCE))

    @Test
    fun `a slow request whose route permits one target is sent once`() = checkSingle(Single("one target", maximumTargets = 1))

    @Test
    fun `a slow request is sent once when the retry budget is spent`() =
        checkSingle(Single("no retries", retryLimits = RetryLimits(ratio = 0.0, extra = 0.0)))

    private data class Outcome(
        val pattern: String,
        val first: suspend (TcpConnection, RequestHead) -> Unit,
        val second: suspend (TcpConnection, RequestHead) -> Unit,
        val expectedStatus: String,
        val expectedBody: String? = null,
        val third: (suspend (TcpConnection, RequestHead) -> Unit)? = null,
    )

    private fun check(case: Outcome) {
        script += listOfNotNull(case.first, case.second, case.third)
        val answer = ask()
        assertEquals(case.expectedStatus, statusOf(answer), "${case.pattern}: $answer")
        case.expectedBody?.let { assertEquals(it, answer.substringAfter("\r\n\r\n"), case.pattern) }
        assertEquals(0, script.size, case.pattern)
    }

    // Guards against a failure that is relayed although the other target would have answered.
    @Test
    fun `a failure of one target is not the result while the other is running`() {
        start(RetrySafety.IDEMPOTENT)
        check(
            Outcome("failed, then answered", answering(plain(SLOW, 200, "first"), 200), answering(plain(SLOW, 500, "bad")), "200", "first"),
        )
        assertEquals(2, sends)
    }

    @Test
    fun `a broken answer of the first target is not the result while the second is running`() {
        start(RetrySafety.IDEMPOTENT)
        check(Outcome("broken, then answered", closing(60), answering(plain(SLOW, 200, "second"), 200), "200", "second"))
        assertEquals(2, sends)
    }

    // Guards against a third target for a request whose route permits two.
    @Test
    fun `two failures use up both targets of the route`() {
        start(RetrySafety.IDEMPOTENT)
        check(Outcome("failed, then broken", closing(200), answering(plain(SLOW, 500, "bad")), "502"))
        assertEquals(2, sends)
    }

    @Test
    fun `the failure that comes last is relayed`() {
        start(RetrySafety.IDEMPOTENT)
        check(Outcome("broken, then failed", closing(60), answering(plain(SLOW, 500, "bad"), 200), "500", "bad"))
        assertEquals(2, sends)
    }

    // Guards against "not run" when one of two sends has reached a target that did not refuse it.
    @Test
    fun `a request that one target may have run is never reported as not run`() {
        start(RetrySafety.IDEMPOTENT, retryLimits = RetryLimits(ratio = 0.0, extra = 2.0))
        check(Outcome("broken, then refused", closing(60), refusing(200), "502"))
        assertEquals(2, sends)
    }

    // Guards against the status of a target's own failure, which states the same, when it is the last result of two sends.
    @Test
    fun `a failure that would state that the request has not run is not relayed`() {
        start(RetrySafety.IDEMPOTENT)
        check(Outcome("broken, then failed", closing(60), answering(plain(SLOW, 503, "bad"), 200), "502"))
        assertEquals(2, sends)
    }

    @Test
    fun `a request that both targets refused is reported as not run`() {
        start(RetrySafety.IDEMPOTENT, retryLimits = RetryLimits(ratio = 0.0, extra = 2.0))
        check(Outcome("both refused", refusing(200), refusing(), "503"))
        assertEquals(2, sends)
    }

    @Test
    fun `a caller that leaves cancels both sends`() {
        start(RetrySafety.IDEMPOTENT)
        repeat(2) { script += silent() }
        fixture.connect().use { socket ->
            socket.getOutputStream().write("GET /x HTTP/1.1\r\nHost: h\r\nId: $SLOW\r\nDeadline: 15000\r\n\r\n".toByteArray())
            val limitMs = System.currentTimeMillis() + CLOSE_LIMIT_MS
            while (sends < 2 && System.currentTimeMillis() < limitMs) Thread.sleep(5)
        }
        awaitClosed(2)
    }

    @Test
    fun `the time limit ends both sends, and the outcome is unknown`() {
        start(RetrySafety.IDEMPOTENT)
        repeat(2) { script += silent() }
        assertEquals("504", statusOf(ask(deadlineMs = 400)))
        awaitClosed(2)
        assertEquals(2, sends)
    }

    @Test
    fun `a resumable stream without events is moved to another target`() {
        start(RetrySafety.RESUMABLE, streaming = true)
        script += silent(streamHead(SLOW) + "3\r\nid:")
        script += answering(stream(SLOW, 1, 2))
        val answer = ask()
        assertTrue(answer.endsWith(stream(SLOW, 1, 2).substringAfter("\r\n\r\n")), answer)
        awaitClosed(1)
        assertEquals(2, sends)
        assertNotEquals(seen[0].headers["Target"], seen[1].headers["Target"])
    }

    @Test
    fun `a moved stream that breaks off has used up the targets of its route`() {
        start(RetrySafety.RESUMABLE, streaming = true)
        script += silent()
        script += closing()
        assertEquals("502", statusOf(ask()))
        awaitClosed(1)
        assertEquals(2, sends)
    }

    @Test
    fun `a stream whose first event has arrived is not moved`() {
        start(RetrySafety.RESUMABLE, streaming = true)
        script += { connection, _ ->
            connection.write((streamHead(SLOW) + event(1)).toByteArray())
            delay(200)
            connection.write((event(2) + "0\r\n\r\n").toByteArray())
        }
        assertTrue(ask().endsWith(event(2) + "0\r\n\r\n"))
        assertEquals(1, sends)
    }

    @Test
    fun `a slow stream that may run only once is sent once`() {
        start(RetrySafety.ONCE, streaming = true)
        script += answering(stream(SLOW, 1), afterMs = 200)
        assertEquals("200", statusOf(ask()))
        assertEquals(1, sends)
    }

    private companion object {
        const val SLOW = "slow"

        /** As many as the policy needs; the next request is the first that may be hedged. */
        const val WARM_UP_REQUESTS = 20
        const val CLOSE_LIMIT_MS = 2_000L

        /** Below the 600 ms after which the connection to a silent target is closed in any case. */
        const val ABANDON_LIMIT_MS = 500L
    }
}
