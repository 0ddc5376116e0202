package org.almondjunction.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.almondjunction.common.Address
import org.almondjunction.common.ModelId
import org.almondjunction.common.TargetId
import org.almondjunction.decisions.PlannedStop
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.decisions.StopAdmission
import org.almondjunction.keeper.HeldModel
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.keeper.MessageChannel
import org.almondjunction.network.BodyFraming
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpHeadParser
import org.almondjunction.network.HttpReader
import org.almondjunction.network.ReadResult
import org.almondjunction.network.RequestHead
import org.almondjunction.network.TcpConnection
import org.almondjunction.network.TcpListener
import java.io.IOException
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Tests a gateway with two targets on loopback; the script holds one response for each request, whichever target receives it. */
class GatewayTest {
    private val fixture = GatewayFixture(graceMs = 3_900)
    private val loop get() = fixture.loop
    private val scope get() = fixture.scope
    private val settings get() = fixture.settings
    private val gateway get() = fixture.gateway
    private val script = ArrayDeque<suspend (TcpConnection, RequestHead) -> Unit>()
    private val seen = mutableListOf<RequestHead>()

    private fun start(
        retryKind: RetrySafety,
        streaming: Boolean,
        engine: EngineConfiguration? = null,
        hosts: List<String> = List(GatewayFixture.TARGETS) { LOOPBACK },
        callerIdleTimeoutMs: Long = 60_000,
    ): Unit =
        fixture.start(
            GatewayFixture.route(retryKind, streaming).copy(callerIdleTimeoutMs = callerIdleTimeoutMs),
            engine,
            hosts,
        ) { target(it) }

    private suspend fun target(connection: TcpConnection) {
        val reader = HttpReader(connection)
        while (true) {
            val head = (reader.requestHead(9_999) as? HeadResult.Read)?.head ?: break
            reader.body(HttpHeadParser.framingOf(head) ?: BodyFraming.None).readAll(9_999)
            seen += head
            script.removeFirst()(connection, head)
        }
    }

    private fun raw(text: String): suspend (TcpConnection, RequestHead) -> Unit = { connection, _ -> connection.write(text.toByteArray()) }

    private fun thenClose(text: String): suspend (TcpConnection, RequestHead) -> Unit =
        { connection, _ ->
            connection.write(text.toByteArray())
            connection.close()
        }

    private fun ask(
        body: String = "",
        extra: String = "",
    ): String {
        val head = "POST /x?y HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 15000\r\nConnection: close\r\n$extra"
        return fixture.ask(head + "Content-Length: ${body.length}\r\n\r\n$body")
    }

    @AfterTest
    fun stop(): Unit = fixture.close()

    private val served = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok"
    private val refused = "HTTP/1.1 503 X\r\nId: 7\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
    private val failed = "HTTP/1.1 500 X\r\nId: 7\r\nSignature: f\r\nContent-Length: 3\r\n\r\nbad"
    private val truncated = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\nContent-Length: 9\r\n\r\nok"
    private val unsigned = "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nok"
    private val otherRequest = "HTTP/1.1 200 OK\r\nId: 6\r\nSignature: o\r\nContent-Length: 5\r\n\r\nother"
    private val otherTarget = "HTTP/1.1 421 X\r\nId: 7\r\nAnswering: t9\r\nContent-Length: 0\r\n\r\n"

    private data class Case(
        val kind: RetrySafety,
        val answers: List<String>,
        val expectedStatus: Int,
        val expectedBody: String? = null,
    )

    private fun check(case: Case) {
        script.clear()
        seen.clear()
        case.answers.forEach { script += if (it === truncated || it.isEmpty()) thenClose(it) else raw(it) }
        val answer = ask(body = "abc")
        assertEquals(case.expectedStatus, answer.substringAfter(' ').take(3).toInt(), "$case: $answer")
        case.expectedBody?.let { assertEquals(it, answer.substringAfter("\r\n\r\n"), "$case") }
        if (case.expectedStatus in listOf(502, 503)) assertTrue("Signature" !in answer, "$case: $answer")
        assertEquals(case.answers.size, seen.size, "$case")
    }

    @Test
    fun `a request that may run only once is retried only if it is known not to have run`() {
        start(RetrySafety.ONCE, streaming = false)
        listOf(
            Case(RetrySafety.ONCE, listOf(served), 200, "ok"),
            Case(RetrySafety.ONCE, listOf(refused, served), 200, "ok"),
            Case(RetrySafety.ONCE, listOf(otherTarget, served), 200, "ok"),
            Case(RetrySafety.ONCE, listOf(failed), 500, "bad"),
            Case(RetrySafety.ONCE, listOf(truncated), 502),
            Case(RetrySafety.ONCE, listOf(unsigned), 502),
            Case(RetrySafety.ONCE, listOf(""), 502),
            Case(RetrySafety.ONCE, listOf(otherRequest + served), 200, "ok"),
            Case(RetrySafety.ONCE, listOf("nonsense\r\n\r\n"), 502),
        ).forEach { check(it) }
    }

    @Test
    fun `a request that may be retried is sent to another target within its limit`() {
        start(RetrySafety.IDEMPOTENT, streaming = false)
        listOf(
            Case(RetrySafety.IDEMPOTENT, listOf(failed, served), 200, "ok"),
            Case(RetrySafety.IDEMPOTENT, listOf(failed, failed), 500, "bad"),
            Case(RetrySafety.IDEMPOTENT, listOf(truncated, served), 200, "ok"),
            Case(RetrySafety.IDEMPOTENT, listOf("", unsigned), 502),
        ).forEach { check(it) }
    }

    // Guards against a second copy of a refusal that is read as the answer to the next send of the same request, which runs.
    @Test
    fun `a repeated refusal is never the answer to the next send of its request`() {
        var refusedOn: TcpConnection? = null
        val runs = AtomicInteger()
        fixture.start(GatewayFixture.route(RetrySafety.ONCE, streaming = false), hosts = listOf(LOOPBACK)) { connection ->
            val reader = HttpReader(connection)
            while (true) {
                val head = (reader.requestHead(9_999) as? HeadResult.Read)?.head ?: break
                reader.body(HttpHeadParser.framingOf(head) ?: BodyFraming.None).readAll(9_999)
                if (refusedOn == null) {
                    refusedOn = connection
                    connection.write(refused.toByteArray())
                } else {
                    runs.incrementAndGet()
                    val lateCopy = if (connection === refusedOn) refused else ""
                    connection.write((lateCopy + served).toByteArray())
                }
            }
        }
        assertEquals("HTTP/1.1 200", ask().take("HTTP/1.1 200".length))
        assertEquals(1, runs.get())
    }

    // Guards against a late refusal without an identity, of an earlier request, that is read as the answer to the one in progress.
    @Test
    fun `a refusal without identity counts only on a connection that carried no other request`() {
        val unnamed = refused.replace("Id: 7\r\n", "")
        listOf("6" to 502, null to 503).forEach { (before, expectedStatus) ->
            GatewayFixture().use { fixture ->
                fixture.start(GatewayFixture.route(RetrySafety.ONCE, streaming = false), hosts = listOf(LOOPBACK)) { connection ->
                    val reader = HttpReader(connection)
                    while (true) {
                        val head = (reader.requestHead(9_999) as? HeadResult.Read)?.head ?: break
                        connection.write((if (head.headers["Id"] == "7") unnamed else served.replace("Id: 7", "Id: 6")).toByteArray())
                        if (head.headers["Id"] == "7") connection.close()
                    }
                }
                val request = { id: String -> "GET /x HTTP/1.1\r\nHost: h\r\nId: $id\r\nDeadline: 15000\r\nConnection: close\r\n\r\n" }
                if (before != null) assertEquals("HTTP/1.1 200", fixture.ask(request(before)).take("HTTP/1.1 200".length))
                val answer = fixture.ask(request("7"))
                assertEquals(expectedStatus, answer.substringAfter(' ').take(3).toInt(), "after $before: $answer")
            }
        }
    }

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private val streamHead = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s1\r\nTransfer-Encoding: chunked\r\n\r\n"

    private fun events(vararg ids: Int) = ids.joinToString("") { "id: $it\ndata: e$it\n\n" }

    @Test
    fun `a truncated stream is resumed at another target after its last complete event`() {
        start(RetrySafety.RESUMABLE, streaming = true)
        script += thenClose(streamHead + chunk(events(1, 2) + "id: 3\nda"))
        script += raw(streamHead.replace("s1", "s2") + chunk(events(3, 4)) + "0\r\n\r\n")
        val answer = ask()
        assertEquals(events(1, 2, 3, 4) + "|end", unchunk(answer))
        assertTrue("Signature: s1" in answer && "s2" !in answer, answer)
        assertEquals(listOf(null, "2"), seen.map { it.headers["Last-Event"] })
    }

    @Test
    fun `a stream that may run only once is truncated where its target truncated it, and never looks complete`() {
        start(RetrySafety.ONCE, streaming = true)
        script += thenClose(streamHead + chunk(events(1) + "id: 2\nda"))
        assertEquals(events(1) + "|cut", unchunk(ask()))
        assertEquals(1, seen.size)
    }

    @Test
    fun `a caller's disconnect resets the connection to the target, so that delayed bytes never arrive`() {
        start(RetrySafety.ONCE, streaming = false)
        val working = CountDownLatch(1)
        val disconnected = CountDownLatch(1)
        var end: ReadResult? = null
        script += { connection, _ ->
            working.countDown()
            end = connection.fill()
            disconnected.countDown()
        }
        fixture.connect().use { socket ->
            socket.getOutputStream().write("GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 15000\r\n\r\n".toByteArray())
            working.await()
        }
        disconnected.await()
        assertEquals(ReadResult.RESET, end)
    }

    @Test
    fun `a request that may be retried is moved from a silent target to another one`() {
        start(RetrySafety.RESUMABLE, streaming = true)
        script += { _, _ -> }
        script += raw(streamHead + chunk(events(1)) + "0\r\n\r\n")
        assertEquals(events(1) + "|end", unchunk(ask()))
        assertEquals(2, seen.size)
    }

    @Test
    fun `the caller of a silent target gets an error response before it disconnects`() {
        start(RetrySafety.ONCE, streaming = true, callerIdleTimeoutMs = 100)
        script += { _, _ -> }
        assertEquals("HTTP/1.1 502", ask().take("HTTP/1.1 502".length))
        assertEquals(1, seen.size)
    }

    @Test
    fun `reserved headers of callers are dropped, and the deadline is reduced`() {
        start(RetrySafety.ONCE, streaming = false)
        script += raw(served)
        ask(extra = "Target: forged\r\nX-Other: kept\r\n")
        val head = seen.single()
        assertEquals("/x?y", head.target)
        assertEquals("kept", head.headers["X-Other"])
        assertTrue(head.headers.all("Target").single() in listOf("t0", "t1"))
        assertTrue(
            head.headers
                .all("Deadline")
                .single()
                .toLong() <= 15_000,
        )
    }

    /** A keeper whose engine holds no models and loads none; counts usage reports on [reported] and load requests on [requested]. */
    private suspend fun idleKeeper(
        connection: TcpConnection,
        reported: CountDownLatch,
        requested: CountDownLatch,
    ) {
        val channel = MessageChannel(connection)
        while (true) {
            when (channel.receive() ?: break) {
                is KeeperMessage.Greeting -> channel.send(KeeperMessage.Status(models = emptyList()))
                is KeeperMessage.Usage -> reported.countDown()
                else -> requested.countDown()
            }
        }
    }

    @Test
    fun `a model that no target holds is preloaded although one keeper is unreachable`() {
        val model =
            ModelConfiguration(
                ModelId("m"),
                weightsMb = 1,
                adapterMb = 0,
                loadMs = 10_000,
                loadFromMemoryMs = 10_000,
                loadFromDiskMs = 10_000,
            )
        val requested = CountDownLatch(1)
        TcpListener(loop, Address(LOOPBACK, settings.keeperPort)) { scope.launch { idleKeeper(it, CountDownLatch(0), requested) } }
        val engine = EngineConfiguration(1, 1, weightsMb = 1, adapterSlots = 0, mapOf(model.model to model))
        start(RetrySafety.ONCE, streaming = true, engine, listOf(LOOPBACK, HOST_WITHOUT_KEEPER))
        assertTrue(requested.await(TEST_TIMEOUT_S, TimeUnit.SECONDS))
    }

    @Test
    fun `a caller that waits for weights at shutdown gets the response that its request did not run`() {
        val model =
            ModelConfiguration(
                ModelId("m"),
                weightsMb = 1,
                adapterMb = 0,
                loadMs = 10_000,
                loadFromMemoryMs = 10_000,
                loadFromDiskMs = 10_000,
            )
        val reported = CountDownLatch(GatewayFixture.TARGETS)
        val requested = CountDownLatch(1)
        TcpListener(loop, Address(LOOPBACK, settings.keeperPort)) { scope.launch { idleKeeper(it, reported, requested) } }
        start(RetrySafety.ONCE, streaming = true, EngineConfiguration(1, 1, weightsMb = 1, adapterSlots = 0, mapOf(model.model to model)))
        reported.await()
        fixture.connect().use { socket ->
            val head = "POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 15000\r\nModel: m\r\nContent-Length: 0\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            requested.await()
            runShutDown()
            val answer = socket.getInputStream().run { readNBytes(available()) }.decodeToString()
            assertEquals("HTTP/1.1 503", answer.take("HTTP/1.1 503".length))
        }
        assertEquals(emptyList(), seen)
    }

    /** A request that a target has not answered completely at shutdown; [beginning] is the part of the response that has arrived. */
    private data class PendingCase(
        val pattern: String,
        val retryKind: RetrySafety,
        val streaming: Boolean,
        val beginning: String = "",
    )

    private val pendingCases =
        listOf(
            PendingCase("a stream that may run only once is queued in its engine", RetrySafety.ONCE, streaming = true),
            PendingCase("a resumable stream is queued in its engine", RetrySafety.RESUMABLE, streaming = true),
            PendingCase("a request that may run only once is being processed", RetrySafety.ONCE, streaming = false),
            PendingCase("the head of a stream has arrived, and no event", RetrySafety.RESUMABLE, streaming = true, streamHead),
            PendingCase("a part of a response has arrived", RetrySafety.ONCE, streaming = false, truncated),
        )

    /** A keeper whose engine holds the model "m"; answers each usage report, so that its target never counts as silent. */
    private suspend fun activeKeeper(
        connection: TcpConnection,
        reported: CountDownLatch,
    ) {
        val channel = MessageChannel(connection)
        while (true) {
            when (channel.receive() ?: break) {
                is KeeperMessage.Greeting -> channel.send(KeeperMessage.Status(models = listOf(HeldModel("m", emptyList()))))
                is KeeperMessage.Usage -> channel.send(KeeperMessage.EngineLoad()).also { reported.countDown() }
                else -> continue
            }
        }
    }

    /** Sends the request of each pending case on a new connection, on the route with the index of the case. */
    private fun sendPending(): List<Socket> =
        pendingCases.mapIndexed { index, case ->
            val model = if (case.streaming) "Model: m\r\n" else ""
            val head = "POST /$index/ HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 15000\r\n${model}Content-Length: 0\r\n\r\n"
            fixture.connect().apply {
                soTimeout = TimeUnit.SECONDS.toMillis(TEST_TIMEOUT_S).toInt()
                getOutputStream().write(head.toByteArray())
            }
        }

    // Guards against a shutdown that closes connections of callers without a response while targets still process their requests.
    @Test
    fun `callers of requests that are pending at targets get the response that the outcome is unknown at shutdown`() {
        val model = ModelConfiguration(ModelId("m"), weightsMb = 1, adapterMb = 0, loadMs = 1, loadFromMemoryMs = 1, loadFromDiskMs = 1)
        val engine = EngineConfiguration(9, 9_999, weightsMb = 1, adapterSlots = 0, mapOf(model.model to model))
        val reported = CountDownLatch(GatewayFixture.TARGETS)
        val received = CountDownLatch(pendingCases.size)
        TcpListener(loop, Address(LOOPBACK, settings.keeperPort)) { scope.launch { activeKeeper(it, reported) } }
        val routes =
            pendingCases.mapIndexed { index, case ->
                GatewayFixture.route(case.retryKind, case.streaming).copy(name = "r$index", pathPrefix = "/$index/")
            }
        fixture.start(routes, engine) { connection ->
            val head = (HttpReader(connection).requestHead(9_999) as HeadResult.Read).head
            connection.write(pendingCases[head.target.trim('/').toInt()].beginning.toByteArray())
            received.countDown()
        }
        reported.await()
        val callers = sendPending()
        received.await()
        runShutDown()
        pendingCases.zip(callers).forEach { (case, caller) ->
            val answer = caller.use { socket -> socket.getInputStream().readAllBytes().decodeToString() }
            assertEquals("HTTP/1.1 502", answer.take("HTTP/1.1 502".length), case.pattern)
            assertTrue(answer.endsWith("}\n"), "${case.pattern}: $answer")
        }
    }

    // Guards against the response "not run" for a request that its target had read before the target was removed during shutdown.
    @Test
    fun `a request that is cancelled at its target during shutdown is not reported as not run`() {
        GatewayFixture(graceMs = 0).use { gateways ->
            val received = CountDownLatch(1)
            gateways.start(GatewayFixture.route(RetrySafety.IDEMPOTENT, streaming = false)) { connection ->
                HttpReader(connection).requestHead(9_999)
                received.countDown()
            }
            gateways.connect().use { socket ->
                socket.getOutputStream().write("GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 15000\r\n\r\n".toByteArray())
                received.await()
                gateways.scope.launch {
                    repeat(GatewayFixture.TARGETS) { gateways.gateway.directory.remove(TargetId("t$it")) }
                    gateways.gateway.shutDown()
                }
                val answer = ByteArray("HTTP/1.1 502".length).also { socket.getInputStream().readNBytes(it, 0, it.size) }
                assertEquals("HTTP/1.1 502", answer.decodeToString())
            }
        }
    }

    // Guards against an unexpected error that closes the caller's connection without a response.
    @Test
    fun `an unexpected error while handling a request gets an error response`() {
        val routeWithoutService = GatewayFixture.route(RetrySafety.ONCE, streaming = false).copy(destinations = emptyList())
        fixture.start(routeWithoutService) { target(it) }
        val answer = ask()
        assertEquals("HTTP/1.1 502", answer.take("HTTP/1.1 502".length))
    }

    // Guards against a truncated stream over HTTP/1.0 that looks complete, since there the end of the connection ends the body.
    @Test
    fun `a truncated stream to a caller without chunked encoding ends with a connection reset`() {
        start(RetrySafety.ONCE, streaming = true)
        script += thenClose(streamHead + chunk(events(1) + "id: 2\nda"))
        fixture.connect().use { socket ->
            socket.getOutputStream().write("GET /x HTTP/1.0\r\nHost: h\r\nId: 7\r\nDeadline: 15000\r\n\r\n".toByteArray())
            assertFailsWith<IOException> { socket.getInputStream().readAllBytes() }
        }
    }

    // Guards against a shutdown that leaves a response that has begun open.
    @Test
    fun `a stream that has begun is truncated at shutdown`() {
        start(RetrySafety.ONCE, streaming = true)
        script += raw(streamHead + chunk(events(1)))
        fixture.connect().use { socket ->
            socket.soTimeout = TimeUnit.SECONDS.toMillis(TEST_TIMEOUT_S).toInt()
            socket.getOutputStream().write("GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 15000\r\n\r\n".toByteArray())
            val begun = ByteArray("HTTP/1.1 200".length).also { socket.getInputStream().readNBytes(it, 0, it.size) }
            runShutDown()
            val rest = socket.getInputStream().readAllBytes()
            assertEquals(events(1) + "|cut", unchunk((begun + rest).decodeToString()))
        }
    }

    // Guards against callers that keep using a connection to a gateway that shuts down, since its responses do not close the connection.
    @Test
    fun `a response that begins during shutdown closes the connection`() {
        start(RetrySafety.ONCE, streaming = false)
        script += { connection, _ ->
            scope.launch { gateway.shutDown() }
            repeat(LOOP_ITERATIONS) { yield() }
            connection.write(served.toByteArray())
        }
        fixture.connect().use { socket ->
            val head = "POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 15000\r\nContent-Length: 0\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray())
            val answer = socket.getInputStream().readAllBytes().decodeToString()
            assertTrue("Connection: close\r\n" in answer, answer)
        }
    }

    // Guards against a stream that begins before a stop, whose caller then sends the next request on its connection, to be cut off.
    @Test
    fun `a connection closes with the stream that was in progress when shutdown started`() {
        start(RetrySafety.ONCE, streaming = true)
        val begun = CompletableDeferred<Unit>()
        script += { connection, _ ->
            connection.write((streamHead + chunk(events(1))).toByteArray())
            begun.await()
            scope.launch { gateway.shutDown() }
            repeat(LOOP_ITERATIONS) { yield() }
            connection.write("0\r\n\r\n".toByteArray())
        }
        script += raw(streamHead + chunk(events(1)) + "0\r\n\r\n")
        fixture.connect().use { socket ->
            val request = "POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 15000\r\nContent-Length: 0\r\n\r\n"
            socket.getOutputStream().write(request.toByteArray())
            val input = socket.getInputStream()
            val first = StringBuilder()
            while (!first.endsWith(events(1) + "\r\n")) first.append(input.read().toChar())
            begun.complete(Unit)
            while (!first.endsWith("0\r\n\r\n")) first.append(input.read().toChar())
            assertFalse("Connection: close" in first, "$first")
            try {
                socket.getOutputStream().write(request.toByteArray())
                assertEquals(-1, input.read())
            } catch (_: IOException) {
                // The request arrived after the close.
            }
            assertEquals(1, seen.size)
        }
    }

    // Guards against a stream that is taken late in a stop because its route has no statistics, or those of shorter ones, and cut off.
    @Test
    fun `a late stream is refused or buffered during shutdown unless its time limit ends in time`() {
        listOf(
            LateStream(
                "no statistics, before the balancer has reacted",
                recordedMs = null,
                closed = false,
                deadlineMs = 15_000,
                StopAdmission.REFUSE,
            ),
            LateStream("no statistics", recordedMs = null, closed = true, deadlineMs = 15_000, StopAdmission.REFUSE),
            LateStream("no statistics, a short deadline", recordedMs = null, closed = true, deadlineMs = 5_000, StopAdmission.RELAY),
            LateStream("statistics of shorter streams", recordedMs = 20, closed = true, deadlineMs = 15_000, StopAdmission.BUFFER),
            LateStream("a stream that breaks off", recordedMs = 20, closed = true, deadlineMs = 15_000, StopAdmission.BUFFER, cut = true),
            LateStream(
                "statistics, before the balancer has reacted",
                recordedMs = 20,
                closed = false,
                deadlineMs = 15_000,
                StopAdmission.RELAY,
            ),
        ).forEach { case ->
            GatewayFixture().use { fixture ->
                fixture.start(GatewayFixture.route(RetrySafety.ONCE, streaming = true)) { target(it) }
                runBlocking(fixture.scope.coroutineContext) {
                    val state = fixture.gateway.state
                    case.recordedMs?.let { state.answerDurations.record("r", firstPartMs = it, totalMs = it, size = 1) }
                    val nowMs = fixture.loop.clock.nowMs()
                    state.stop =
                        PlannedStop(if (case.closed) nowMs else Long.MAX_VALUE, finalResponseMs = nowMs + 9_900, exitMs = nowMs + 10_000)
                }
                seen.clear()
                script.clear()
                script += thenClose(streamHead + chunk(events(1)) + if (case.cut) "" else "0\r\n\r\n")
                val answer = fixture.ask("GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: ${case.deadlineMs}\r\n\r\n")
                assertEquals(if (case.expected == StopAdmission.REFUSE) 0 else 1, seen.size, "${case.pattern}: $answer")
                when {
                    case.expected == StopAdmission.REFUSE -> assertTrue("Retry-After: 0.00" in answer, "${case.pattern}: $answer")
                    case.cut -> assertTrue("502" in answer.lineSequence().first() && "id: 1" !in answer, "${case.pattern}: $answer")
                    else -> assertEquals(events(1) + "|end", unchunk(answer), case.pattern)
                }
            }
        }
    }

    private data class LateStream(
        val pattern: String,
        val recordedMs: Long?,
        val closed: Boolean,
        val deadlineMs: Long,
        val expected: StopAdmission,
        val cut: Boolean = false,
    )

    // Guards against a second SIGTERM that ends the process while the first still waits for accepted requests.
    @Test
    fun `a second call to shutDown does not return before accepted requests are answered`() {
        start(RetrySafety.ONCE, streaming = false)
        val secondReturned = AtomicBoolean()
        val returnedBeforeAnswer = CompletableFuture<Boolean>()
        script += { connection, _ ->
            scope.launch { gateway.shutDown() }
            scope.launch {
                gateway.shutDown()
                secondReturned.set(true)
            }
            repeat(LOOP_ITERATIONS) { yield() }
            returnedBeforeAnswer.complete(secondReturned.get())
            connection.write(served.toByteArray())
        }
        assertEquals("HTTP/1.1 200", ask().take("HTTP/1.1 200".length))
        assertFalse(returnedBeforeAnswer.get())
    }

    /** Shuts the gateway down, and returns when it has stopped. */
    private fun runShutDown() {
        val stopped = CountDownLatch(1)
        scope.launch {
            gateway.shutDown()
            stopped.countDown()
        }
        stopped.await()
    }

    @Test
    fun `during shutdown a gateway begins no response that it could not finish, and still serves short ones`() {
        start(RetrySafety.ONCE, streaming = true)
        val stopping = CountDownLatch(1)
        scope.launch {
            gateway.state.answerDurations.record("r", firstPartMs = 0, totalMs = 15_000, size = 1_000)
            launch { gateway.shutDown() }
            stopping.countDown()
        }
        stopping.await()
        script += raw(streamHead + chunk(events(1)) + "0\r\n\r\n")
        val refused = ask(extra = "Tokens: 10,1000\r\n")
        assertEquals("HTTP/1.1 503", refused.take("HTTP/1.1 503".length))
        assertTrue("Retry-After: 0.00" in refused, refused)
        assertEquals(0, seen.size)
        assertEquals(events(1) + "|end", unchunk(ask(extra = "Tokens: 10,1\r\n")))
    }

    private companion object {
        const val LOOPBACK = GatewayFixture.LOOPBACK
        const val HOST_WITHOUT_KEEPER = "127.0.0.2"

        /** Enough for a previously launched coroutine to run until it suspends. */
        const val LOOP_ITERATIONS = 9

        /** Ends a test that would hang; far longer than any machine needs. */
        const val TEST_TIMEOUT_S = 300L
    }
}
