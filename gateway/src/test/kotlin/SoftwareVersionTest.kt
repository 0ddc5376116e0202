package org.almondjunction.gateway

import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.keeper.MessageChannel
import org.almondjunction.keeper.SentStream
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpReader
import org.almondjunction.network.TcpConnection
import org.almondjunction.network.TcpListener
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

class SoftwareVersionTest {
    /** Software versions of the two targets. */
    private class Case(
        val pattern: String,
        val versions: List<String?>,
    )

    private fun events(vararg ids: Int) = ids.joinToString("") { "id: $it\ndata: e$it\n\n" }

    private val head = "HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"

    private fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

    private val cases =
        listOf(
            Case("both of one version", listOf("1", "1")),
            Case("without versions", listOf(null, null)),
            Case("of two versions", listOf("1", "2")),
            Case("one without a version", listOf("1", null)),
        )

    // Guards against streams with events from two software versions of an engine (rule ORDER).
    @Test
    fun `a stream that breaks off goes on only at a target of the version that began it`(): Unit = cases.forEach { check(it) }

    /** What keepers remember of the stream that a caller takes up, and the version that writes the rest; null if none does. */
    private class ResumedCase(
        val pattern: String,
        val versions: List<String?>,
        val remembered: SentStream,
        val expected: String?,
    )

    private val resumedCases =
        listOf(
            ResumedCase("begun at the first version", listOf("1", "2"), SentStream(BEGUN, "1"), "1"),
            ResumedCase("begun at the second version", listOf("1", "2"), SentStream(BEGUN, "2"), "2"),
            ResumedCase("its version is gone", listOf("1", "2"), SentStream(BEGUN, "0"), null),
            ResumedCase("not remembered", listOf("1", "2"), SentStream(BEGUN, known = false), null),
            ResumedCase("not remembered, one version", listOf("1", "1"), SentStream(BEGUN, known = false), "1"),
        )

    // Guards against streams with events from two software versions over a caller's tries at several gateways (rule ORDER).
    @Test
    fun `a stream that its caller takes up at another gateway goes on only at the version that began it`(): Unit =
        resumedCases.forEach { check(it) }

    private fun check(case: ResumedCase) {
        val versions = mutableListOf<String?>()

        suspend fun answer(connection: TcpConnection) {
            val received = HttpReader(connection).requestHead(9_999)
            if (received is HeadResult.Read) {
                versions += case.versions[checkNotNull(received.head.headers["Target"]).removePrefix("t").toInt()]
                connection.write((head.replace("Id: 7", "Id: 8") + chunk(events(2)) + "0\r\n\r\n").toByteArray())
            }
            connection.close()
        }
        connected.clear()
        GatewayFixture().use { fixture ->
            TcpListener(fixture.loop, Address(GatewayFixture.LOOPBACK, fixture.settings.keeperPort)) { connection ->
                fixture.scope.launch { keeper(connection, case.remembered) }
            }
            val route = GatewayFixture.route(RetrySafety.RESUMABLE, streaming = true)
            val engine = EngineConfiguration(1, 1, weightsMb = 1, adapterSlots = 0, emptyMap())
            fixture.start(listOf(route), engine, softwareVersions = case.versions) { answer(it) }
            connected.poll(TEST_TIMEOUT_S, TimeUnit.SECONDS)
            val request = "GET /x HTTP/1.1\r\nHost: h\r\nId: 8\r\nResumes: $BEGUN\r\nLast-Event: 1\r\nConnection: close\r\n\r\n"
            val status = fixture.ask(request).substringBefore("\r\n").split(' ')[1]
            val expectedStatus = if (case.expected == null) "503" else "200"
            assertEquals(expectedStatus, status, case.pattern)
            assertEquals<List<String?>>(listOfNotNull(case.expected), versions, case.pattern)
        }
    }

    private val connected = LinkedBlockingQueue<String>()

    private suspend fun keeper(
        connection: TcpConnection,
        remembered: SentStream,
    ) {
        val channel = MessageChannel(connection)
        while (true) {
            val message = channel.receive() ?: return
            if (message is KeeperMessage.Greeting) {
                channel.send(KeeperMessage.Status(models = emptyList()))
                connected.put(message.gateway)
            }
            if (message is KeeperMessage.Usage && BEGUN in message.resumedStreams) {
                channel.send(KeeperMessage.EngineLoad(resumedStreams = listOf(remembered)))
            }
        }
    }

    private fun check(case: Case) {
        val script = ArrayDeque(listOf(head + chunk(events(1)), head + chunk(events(2)) + "0\r\n\r\n"))
        val versions = mutableListOf<String?>()

        suspend fun answer(connection: TcpConnection) {
            val received = HttpReader(connection).requestHead(9_999)
            if (received is HeadResult.Read) {
                versions += case.versions[checkNotNull(received.head.headers["Target"]).removePrefix("t").toInt()]
                connection.write(script.removeFirst().toByteArray())
            }
            connection.close()
        }
        GatewayFixture().use { fixture ->
            val route = GatewayFixture.route(RetrySafety.RESUMABLE, streaming = true)
            fixture.start(listOf(route), softwareVersions = case.versions) { answer(it) }
            val received = fixture.ask("GET /x HTTP/1.1\r\nHost: h\r\nId: 7\r\nConnection: close\r\n\r\n")
            assertEquals(events(1, 2) + "|end", unchunk(received), case.pattern)
            assertEquals(1, versions.distinct().size, "${case.pattern}: written by versions $versions")
        }
    }

    private companion object {
        /** Request that began the stream which is taken up. */
        const val BEGUN = "7"
        const val TEST_TIMEOUT_S = 30L
    }
}
