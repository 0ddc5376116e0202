package org.almondjunction.gateway

import kotlinx.coroutines.launch
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpReader
import org.almondjunction.network.TcpConnection
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Tests what callers get when targets answer with failures of their own. */
class FailureStatusTest {
    /**
     * @property answers statuses of the targets' answers, in order
     * @property expected status that the caller gets
     * @property expectedSends number of times that targets receive the request
     */
    private data class Case(
        val kind: RetrySafety,
        val answers: List<Int>,
        val expected: Int,
        val expectedSends: Int = answers.size,
        val streaming: Boolean = false,
        val signed: Boolean = true,
    )

    private fun check(case: Case) {
        val answers = ConcurrentLinkedDeque(case.answers)
        val sends = AtomicInteger()
        val response =
            GatewayFixture().use { fixture ->
                fixture.start(GatewayFixture.route(case.kind, case.streaming)) { answer(it, answers, case.signed, sends) }
                fixture.ask("POST /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 3000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
            }
        assertEquals(case.expected, response.substringAfter(' ').take(3).toInt(), "$case: $response")
        assertEquals(case.expectedSends, sends.get(), "$case")
        val relayed = case.expected in case.answers
        assertEquals(relayed && case.signed, "Signature: ${case.expected}\r\n" in response, "$case: $response")
        assertEquals(relayed, response.endsWith("own ${case.expected}"), "$case: $response")
        assertFalse("Retry-After" in response, "$case: $response")
    }

    private suspend fun answer(
        connection: TcpConnection,
        answers: ConcurrentLinkedDeque<Int>,
        signed: Boolean,
        sends: AtomicInteger,
    ) {
        val reader = HttpReader(connection)
        while (reader.requestHead(9_999) is HeadResult.Read) {
            sends.incrementAndGet()
            val status = answers.poll() ?: return connection.close()
            val signature = if (signed) "Signature: $status\r\n" else ""
            val headers = "Id: 7\r\n${signature}Retry-After: 0\r\nContent-Length: 7\r\n\r\n"
            connection.write("HTTP/1.1 $status X\r\n${headers}own $status".toByteArray())
        }
    }

    // Guards against "not run", by the status, for a request that a target has run and answered with a failure of its own.
    @Test
    fun `a target's own failure never states that the request has not run`() =
        REFUSALS.forEach { status ->
            check(Case(RetrySafety.ONCE, listOf(status), 502))
            check(Case(RetrySafety.ONCE, listOf(status), 502, streaming = true))
            check(Case(RetrySafety.ONCE, listOf(status), 502, signed = false))
            check(Case(RetrySafety.IDEMPOTENT, listOf(status, status), 502))
            check(Case(RetrySafety.RESUMABLE, listOf(status, status), 502, streaming = true))
        }

    // Guards against a status that was kept from an earlier send and is relayed when the request is given up.
    @Test
    fun `a failure of an earlier send does not state it either`() =
        REFUSALS.forEach { status ->
            check(Case(RetrySafety.IDEMPOTENT, listOf(status), 502, expectedSends = 2))
            check(Case(RetrySafety.IDEMPOTENT, listOf(status, 500), 500))
            check(Case(RetrySafety.IDEMPOTENT, listOf(500, status), 502))
        }

    // Guards against a kept status that is relayed when the gateway shuts down before the next send is answered.
    @Test
    fun `a failure of an earlier send does not state it at shutdown`() =
        REFUSALS.forEach { status ->
            val answers = ConcurrentLinkedDeque(listOf(status))
            val silentSend = CountDownLatch(1)
            GatewayFixture(graceMs = 0).use { fixture ->
                fixture.start(GatewayFixture.route(RetrySafety.IDEMPOTENT, streaming = false)) { connection ->
                    HttpReader(connection).requestHead(9_999)
                    when (val next = answers.poll()) {
                        null -> silentSend.countDown()
                        else -> connection.write("HTTP/1.1 $next X\r\nId: 7\r\nSignature: s\r\nContent-Length: 0\r\n\r\n".toByteArray())
                    }
                }
                fixture.connect().use { socket ->
                    socket.getOutputStream().write("GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 15000\r\n\r\n".toByteArray())
                    assertTrue(silentSend.await(TEST_TIMEOUT_S, TimeUnit.SECONDS), "no second send after $status")
                    fixture.scope.launch { fixture.gateway.shutDown() }
                    val statusLine = socket.getInputStream().readNBytes("HTTP/1.1 502".length).decodeToString()
                    assertEquals("HTTP/1.1 502", statusLine, "after $status")
                }
            }
        }

    @Test
    fun `a request that may be repeated is served by another target after such a failure`() =
        REFUSALS.forEach { status -> check(Case(RetrySafety.IDEMPOTENT, listOf(status, 200), 200)) }

    @Test
    fun `other answers of a target are relayed unchanged`() =
        listOf(200, 301, 400, 404, 409, 413, 500, 502, 504, 599).forEach { status ->
            check(Case(RetrySafety.ONCE, listOf(status), status))
        }

    private companion object {
        /** 421 is absent: by that status alone a target states that it has not run the request. */
        val REFUSALS = listOf(503, 429, 408)
        const val TEST_TIMEOUT_S = 10L
    }
}
