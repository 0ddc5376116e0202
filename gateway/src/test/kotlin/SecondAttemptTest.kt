package org.almondjunction.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.Address
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.common.ZoneId
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.keeper.EngineCrash
import org.almondjunction.keeper.HeldModel
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.keeper.MessageChannel
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpReader
import org.almondjunction.network.TcpConnection
import org.almondjunction.network.TcpListener
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests when and where a gateway repeats a resumable stream that an engine broke off. */
class SecondAttemptTest {
    private enum class Answer { BREAKS_OFF, BREAKS_OFF_LATE, REFUSED, COMPLETE }

    private enum class KeeperReport { ENDED, RUNNING, NONE }

    private class Send(
        val id: String?,
        val address: Address,
        val atMs: Long,
    )

    private val fixture = GatewayFixture()
    private val answers = ConcurrentLinkedDeque<Answer>()
    private val sends = CopyOnWriteArrayList<Send>()
    private val addresses = mutableListOf<Address>()
    private val keepersConnected = CountDownLatch(HOSTS.size)

    @Volatile
    private var keeperReport = KeeperReport.NONE

    @AfterTest
    fun stop(): Unit = fixture.close()

    private fun start(maximumTargets: Int = 3) {
        HOSTS.forEach { host ->
            TcpListener(fixture.loop, Address(host, fixture.settings.keeperPort)) { fixture.scope.launch { keeper(MessageChannel(it)) } }
        }
        val engine = EngineConfiguration(1, 1, weightsMb = 1, adapterSlots = 0, emptyMap())
        val route = GatewayFixture.route(RetrySafety.RESUMABLE, streaming = true).copy(maximumTargets = maximumTargets)
        fixture.start(route, engine, hosts = emptyList()) {}
        val started = fixture.scope.async { HOSTS.forEach { addTarget(it) } }
        runBlocking { started.await() }
        assertTrue(keepersConnected.await(TEST_TIMEOUT_S, TimeUnit.SECONDS))
        Thread.sleep(STATUS_DELIVERY_MS)
    }

    private fun addTarget(host: String) {
        val listener = TcpListener(fixture.loop, Address(host, 0)) { connection -> fixture.scope.launch { target(connection, host) } }
        val address = Address(host, listener.port).also { addresses += it }
        val models = mapOf(MODEL to emptySet<String>())
        fixture.gateway.directory.put(TargetEntry(TargetId(host), ServiceId("s"), address, ZoneId("z"), true, 4, 1, STARTED_MS, models))
    }

    private suspend fun target(
        connection: TcpConnection,
        host: String,
    ) {
        val request = HttpReader(connection).requestHead(9_999) as? HeadResult.Read ?: return
        val id = request.head.headers["Id"]
        sends += Send(id, addresses.first { it.ip == host }, System.nanoTime() / NANOSECONDS)
        val head = "HTTP/1.1 200 OK\r\nId: $id\r\nSignature: s\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        when (answers.poll() ?: Answer.COMPLETE) {
            Answer.BREAKS_OFF -> connection.write(head.toByteArray())
            Answer.BREAKS_OFF_LATE -> {
                connection.write((head + EVENT).toByteArray())
                delay(LATE_MS)
            }
            Answer.REFUSED ->
                connection.write(
                    "HTTP/1.1 503 Full\r\nId: $id\r\nNot-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".toByteArray(),
                )
            Answer.COMPLETE -> connection.write((head + EVENT + "0\r\n\r\n").toByteArray())
        }
        connection.abortAfterDelivery()
    }

    private suspend fun TcpConnection.abortAfterDelivery() {
        delay(STATUS_DELIVERY_MS / 10)
        abort()
    }

    private suspend fun keeper(channel: MessageChannel) {
        val running = KeeperMessage.Status(listOf(HeldModel(MODEL, emptyList())))
        var reports = 0
        while (true) {
            val message = channel.receive() ?: return
            if (message is KeeperMessage.Greeting) {
                channel.send(running)
                keepersConnected.countDown()
            }
            val brokenOff = (message as? KeeperMessage.Usage)?.brokenOff.orEmpty()
            reports += brokenOff.size
            if (brokenOff.isEmpty()) {
                channel.send(KeeperMessage.EngineLoad())
                continue
            }
            delay(DETECTION_MS)
            when (keeperReport) {
                KeeperReport.ENDED -> {
                    val crash = EngineCrash(STARTED_MS, ageMs = 0, brokenOff.flatMap { it.parts })
                    channel.send(running.copy(engineReachable = false, crashes = listOf(crash), settledReports = reports))
                }
                KeeperReport.RUNNING -> channel.send(running.copy(settledReports = reports))
                KeeperReport.NONE -> Unit
            }
        }
    }

    private fun ask(
        id: String,
        parts: String = "first:1,own-$id:1",
        headers: String = "",
    ): String =
        fixture.ask("GET /x HTTP/1.1\r\nHost: h\r\nId: $id\r\nModel: $MODEL\r\nParts: $parts\r\n${headers}Connection: close\r\n\r\n")

    private fun sendsOf(id: String) = sends.filter { it.id == id }

    /** Returns the time between the first two sends of a request whose first send gets [answer]. */
    private fun delayAfter(
        answer: Answer,
        report: KeeperReport,
        id: String,
        headers: String = "",
    ): Long {
        answers.add(answer)
        keeperReport = report
        assertEquals("HTTP/1.1 200", ask(id, headers = headers).take("HTTP/1.1 200".length))
        val (first, second) = sendsOf(id)
        return second.atMs - first.atMs
    }

    // Guards against a request that is sent to the next engine before it is known that it has ended the last one, and to any engine.
    @Test
    fun `after the end of an engine the second attempt goes to the one engine for its last part`() {
        start()
        val remaining = addresses.toMutableList()
        repeat(3) { number ->
            val delayMs = delayAfter(Answer.BREAKS_OFF, KeeperReport.ENDED, "$number")
            assertTrue(delayMs in DETECTION_MS..UNBOUNDED_MS, "$delayMs ms")
            val (first, second) = sendsOf("$number").map { it.address }
            remaining -= first
            val part = checkNotNull(PromptParts.parse("own-$number:1").last).part
            assertEquals(Rendezvous.order(part.toString(), remaining) { it.toString() }.first(), second)
        }
    }

    // Guards against a request that ends a third engine because its route permits more attempts.
    @Test
    fun `after the end of an engine no third attempt is made`() {
        start()
        repeat(3) { answers.add(Answer.BREAKS_OFF) }
        keeperReport = KeeperReport.ENDED
        assertEquals("HTTP/1.1 502", ask("7").take("HTTP/1.1 502".length))
        assertEquals(2, sendsOf("7").size)
    }

    // Guards against streams that wait although their engine runs and only the link or the stream broke.
    @Test
    fun `a stream that was broken off by a running engine is repeated once its keeper says so`() {
        start()
        val delayMs = delayAfter(Answer.BREAKS_OFF, KeeperReport.RUNNING, "7")
        assertTrue(delayMs in DETECTION_MS..END_DETECTION_MS - MARGIN_MS, "$delayMs ms")
        answers.add(Answer.BREAKS_OFF)
        assertTrue(delayAfter(Answer.BREAKS_OFF, KeeperReport.RUNNING, "8") < END_DETECTION_MS - MARGIN_MS)
        assertEquals(3, sendsOf("8").size, "as many attempts as the route permits")
    }

    // Guards against callers who wait without a bound for a keeper that says nothing, and beyond their deadline.
    @Test
    fun `the wait for a keeper is bounded and leaves its caller time for the second attempt`() {
        start()
        val delayMs = delayAfter(Answer.BREAKS_OFF, KeeperReport.NONE, "7")
        assertTrue(delayMs in END_DETECTION_MS - MARGIN_MS..END_DETECTION_MS + UNBOUNDED_MS, "$delayMs ms")
        val impatientMs = delayAfter(Answer.BREAKS_OFF, KeeperReport.NONE, "8", "Deadline: 1400\r\n")
        assertTrue(impatientMs < 700 + MARGIN_MS, "$impatientMs ms")
    }

    // Guards against delays of retries for which the wait is of no use.
    @Test
    fun `refused requests and streams broken off well after their beginning are repeated at once`() {
        start()
        val refusedMs = delayAfter(Answer.REFUSED, KeeperReport.NONE, "7")
        assertTrue(refusedMs < MARGIN_MS, "refused: $refusedMs ms")
        val lateMs = delayAfter(Answer.BREAKS_OFF_LATE, KeeperReport.NONE, "8")
        assertTrue(lateMs < LATE_MS + MARGIN_MS, "late: $lateMs ms")
    }

    // Guards against a wait for a request that a complete answer has shown to be harmless.
    @Test
    fun `the wait ends when a complete answer clears the parts`() {
        start()
        answers.add(Answer.BREAKS_OFF)
        val waiting = thread { ask("7", parts = "first:1,own:1") }
        while (sends.isEmpty()) Thread.sleep(10)
        Thread.sleep(DETECTION_MS)
        ask("8", parts = "first:1,own:1")
        waiting.join()
        val (first, second) = sendsOf("7")
        assertTrue(second.atMs - first.atMs < END_DETECTION_MS - MARGIN_MS, "${second.atMs - first.atMs} ms")
    }

    private companion object {
        val HOSTS = (1..5).map { "127.0.0.$it" }
        const val MODEL = "m"
        const val EVENT = "10\r\nid: 1\ndata: e1\n\n\r\n"
        const val STARTED_MS = 1L
        const val DETECTION_MS = 300L
        const val END_DETECTION_MS = 1_500L
        const val LATE_MS = 1_200L
        const val STATUS_DELIVERY_MS = 300L

        /** Delays on a busy host. */
        const val MARGIN_MS = 250L
        const val UNBOUNDED_MS = 1_000L
        const val TEST_TIMEOUT_S = 30L
        const val NANOSECONDS = 1_000_000L
    }
}
