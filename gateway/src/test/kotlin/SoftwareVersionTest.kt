package org.almondjunction.gateway

import org.almondjunction.decisions.RetrySafety
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpReader
import org.almondjunction.network.TcpConnection
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
}
