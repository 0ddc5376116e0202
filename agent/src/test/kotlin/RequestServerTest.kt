package org.almondjunction.agent

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Address
import org.almondjunction.common.Metrics
import org.almondjunction.common.RequestId
import org.almondjunction.common.SystemClock
import org.almondjunction.common.TargetId
import org.almondjunction.decisions.EngineReport
import org.almondjunction.decisions.Order
import org.almondjunction.decisions.OrderReply
import org.almondjunction.decisions.ResidentKey
import org.almondjunction.decisions.TargetMachine
import org.almondjunction.decisions.plainServiceState
import org.almondjunction.protocol.Connection
import org.almondjunction.protocol.Listener
import org.almondjunction.protocol.Message
import org.almondjunction.protocol.Work
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Shutdown of an agent as its entry hosts observe it. No assertion depends on how long an operation takes. */
class RequestServerTest {
    /** Answers every request immediately with [ANSWER_BYTES] bytes, except [HANGING], which runs until it is cancelled. */
    private class TestBackend : Backend {
        val cancelling = CompletableDeferred<Unit>()
        val mayCancel = CompletableDeferred<Unit>()

        override suspend fun order(order: Order) = OrderReply.REFUSED

        override suspend fun report(): EngineReport? = null

        override suspend fun run(
            id: RequestId,
            work: Work,
            resident: ResidentKey,
            priority: Int,
            answer: AnswerSink,
        ): BackendResult {
            answer.head(200, "text/plain")
            if (id == HANGING) awaitCancellation()
            answer.append(ByteArray(ANSWER_BYTES))
            return BackendResult.Complete
        }

        override suspend fun cancel(id: RequestId) {
            cancelling.complete(Unit)
            mayCancel.await()
        }
    }

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val metrics = Metrics()
    private val backend = TestBackend()
    private val controller =
        TargetController(
            initial = plainServiceState(SystemClock.nowMs()),
            machine = TargetMachine(),
            backend = backend,
            clock = SystemClock,
            metrics = metrics,
            scope = scope,
            reportIntervalMs = 1_000,
        )
    private val server = RequestServer(TargetId("booking"), "first", controller, backend, SystemClock, metrics, scope) {}
    private val address = Address("127.0.0.1", ServerSocket(0).use { it.localPort })
    private val accepted = CopyOnWriteArrayList<Connection>()
    private val received = CopyOnWriteArrayList<Message>()

    @AfterTest
    fun close() {
        scope.cancel()
        selector.close()
    }

    private suspend fun start() {
        Listener(selector, scope, metrics).listen(
            address,
            onMessage = { connection, message ->
                accepted.addIfAbsent(connection)
                server.onMessage(connection, message)
            },
            onClosed = { connection -> server.onClosed(connection) },
        )
        controller.start(server)
    }

    private suspend fun dial(onMessage: suspend (Message) -> Unit = { received += it }): Connection {
        val connection =
            checkNotNull(Connection.dial(selector, address, scope, metrics, { _, message -> onMessage(message) }, onClosed = {}))
        connection.send(Message.Hello("entry", incarnation = ""))
        return connection
    }

    private fun request(id: RequestId): Message {
        val work = Work.PlainCall("POST", "/slots", contentType = null, idempotencyKey = null, body = ByteArray(0))
        return Message.Start(id, work, timeLeftMs = 600_000, priority = 5, sentMs = SystemClock.nowMs())
    }

    private fun bytesReceived() = received.filterIsInstance<Message.Chunk>().sumOf { it.bytes.size }

    private suspend fun eventually(
        description: String,
        condition: suspend () -> Boolean,
    ) = checkNotNull(withTimeoutOrNull(EVENTUALLY_LIMIT_MS) { while (!condition()) delay(EVENTUALLY_STEP_MS) }) {
        "The condition was not met within $EVENTUALLY_LIMIT_MS ms: $description."
    }

    /** Guards against an agent that stops while the end of an answer is still queued because the caller reads slowly. */
    @Test
    fun `an agent is busy until the end of every answer has been sent`() =
        runBlocking {
            start()
            val connection = dial()
            val id = RequestId("r")
            connection.send(request(id))
            eventually("the first part of the answer has arrived") { bytesReceived() > 0 }
            eventually("the backend call has ended") { controller.state.running.isEmpty() }
            assertTrue(server.busy)
            var acknowledged = 0
            while (bytesReceived() < ANSWER_BYTES) {
                eventually("more of the answer has arrived") { bytesReceived() > acknowledged }
                acknowledged = bytesReceived()
                connection.send(Message.Acknowledge(id, acknowledged.toLong()))
            }
            eventually("the end of the answer has arrived") { received.last() is Message.End }
            eventually("the agent is no longer busy") { !server.busy }
            assertEquals(ANSWER_BYTES.toLong(), (received.last() as Message.End).length)
        }

    /** Guards against a stop that waits for an answer that has been cancelled. */
    @Test
    fun `an agent is not busy with a cancelled answer`() =
        runBlocking {
            start()
            val connection = dial()
            val id = RequestId("r")
            connection.send(request(id))
            eventually("the first part of the answer has arrived") { bytesReceived() > 0 }
            connection.send(Message.Cancel(id))
            eventually("the agent is no longer busy") { !server.busy }
            assertFalse(received.any { it is Message.End })
        }

    /** Guards against an engine that continues a cancelled request because its agent stopped before forwarding the cancellation. */
    @Test
    fun `an agent is busy until its engine has received every cancellation`() =
        runBlocking {
            start()
            val connection = dial()
            connection.send(request(HANGING))
            eventually("the request runs") { received.any { it is Message.Head } }
            connection.send(Message.Cancel(HANGING))
            backend.cancelling.await()
            assertTrue(server.busy)
            backend.mayCancel.complete(Unit)
            eventually("the agent is no longer busy") { !server.busy }
        }

    /** Guards against a stop that is blocked by an entry host that no longer reads from its connection. */
    @Test
    fun `an entry host that does not read does not delay the leaving notice to other entry hosts`() =
        runBlocking {
            start()
            val frozen = dial { awaitCancellation() }
            repeat(REQUESTS_BEYOND_ALL_BUFFERS) { frozen.send(request(RequestId("r$it"))) }
            eventually("the connection to the frozen entry host is full") { accepted.singleOrNull()?.let { isFull(it) } == true }
            dial()
            eventually("the other entry host has received the hello") { received.any { it is Message.Hello } }
            val announcement = scope.launch { server.announceLeaving() }
            eventually("the other entry host has received the leaving notice") { Message.Leaving in received }
            eventually("the announcement has completed") { announcement.isCompleted }
        }

    private suspend fun isFull(connection: Connection) = withTimeoutOrNull(FULL_AFTER_MS) { connection.send(Message.Pong(0)) } == null

    private companion object {
        /** More than the number of unacknowledged bytes that an agent sends. */
        const val ANSWER_BYTES = 600_000

        /** Each request may have 256 KB unacknowledged; the network buffers about 4 MB, and a connection queues 256 messages of 64 KB. */
        const val REQUESTS_BEYOND_ALL_BUFFERS = 110
        const val FULL_AFTER_MS = 100L
        val HANGING = RequestId("hanging")
        const val EVENTUALLY_LIMIT_MS = 30_000L
        const val EVENTUALLY_STEP_MS = 10L
    }
}
