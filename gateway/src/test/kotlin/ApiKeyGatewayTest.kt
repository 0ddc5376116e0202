package org.almondjunction.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.HostTime
import org.almondjunction.common.ServiceId
import org.almondjunction.common.SystemClock
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.network.BodyFraming
import org.almondjunction.network.HeadResult
import org.almondjunction.network.HttpHeadParser
import org.almondjunction.network.HttpReader
import org.almondjunction.network.RequestHead
import org.almondjunction.network.TcpConnection
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Tests a gateway whose callers present API keys; its wall clock jumps by [jumpMs], as after a suspension. */
class ApiKeyGatewayTest {
    @Volatile
    private var jumpMs = 0L
    private val fixture =
        GatewayFixture(revocationMs = 5_000, hostClock = { HostTime(SystemClock.nowMs(), System.currentTimeMillis() + jumpMs) })
    private val gateway get() = fixture.gateway
    private val seen = CopyOnWriteArrayList<RequestHead>()
    private val tenant = Tenant("a", priority = 2)
    private val closed = GatewayFixture.route(RetrySafety.IDEMPOTENT, streaming = false).copy(name = "closed")
    private val public = closed.copy(name = "public", pathPrefix = "/public/", public = true)
    private val stream = GatewayFixture.route(RetrySafety.RESUMABLE, streaming = true).copy(pathPrefix = "/stream/", priority = 7)

    private suspend fun target(connection: TcpConnection) {
        val reader = HttpReader(connection)
        while (true) {
            val head = (reader.requestHead(9_999) as? HeadResult.Read)?.head ?: break
            reader.body(HttpHeadParser.framingOf(head) ?: BodyFraming.None).readAll(9_999)
            seen += head
            connection.write("HTTP/1.1 200 OK\r\nId: 7\r\nSignature: s\r\nContent-Length: 8\r\n\r\nid: 1\n\n\n".toByteArray())
        }
    }

    private fun <T> onLoop(action: () -> T): T = runBlocking { fixture.scope.async { action() }.await() }

    private fun apply(
        version: Long,
        keys: Map<Tenant, List<String>>?,
    ) = onLoop {
        val services = mapOf(ServiceId("s") to ServiceConfiguration(ServiceId("s"), 9))
        gateway.applyConfiguration(
            GatewayConfiguration(version, listOf(closed, public, stream), services, apiKeys = keys?.let { ApiKeys.of(it) }),
        )
    }

    private fun confirm() = onLoop { gateway.confirmConfiguration(HostTime(SystemClock.nowMs(), System.currentTimeMillis() + jumpMs)) }

    private fun startWithKeys(proved: Boolean = true) {
        fixture.start(listOf(closed)) { target(it) }
        apply(2, mapOf(tenant to listOf(KEY)))
        onLoop { gateway.markTargetsListed() }
        if (proved) confirm()
    }

    private fun request(
        headers: String,
        path: String = "/x",
    ) = "POST $path HTTP/1.1\r\nHost: h\r\nId: 7\r\nDeadline: 9000\r\n${headers}Content-Length: 0\r\n"

    private fun ask(
        headers: String = "",
        path: String = "/x",
    ): String = fixture.ask(request(headers, path) + "Connection: close\r\n\r\n")

    private fun status(answer: String) = answer.substringAfter(' ').take(3).toInt()

    /** Sends a request on an open connection and returns the status of its answer. */
    private fun Socket.statusOf(headers: String): Int {
        getOutputStream().write((request(headers) + "\r\n").toByteArray())
        val text = StringBuilder()
        while ("\r\n\r\n" !in text) text.append(getInputStream().read().toChar())
        val length =
            text
                .toString()
                .substringAfter("Content-Length: ")
                .substringBefore("\r")
                .toInt()
        getInputStream().readNBytes(length)
        return status(text.toString())
    }

    @AfterTest
    fun stop(): Unit = fixture.close()

    // Guards against requests without a valid key that run, and against a key in an answer.
    @Test
    fun `a request without exactly one key of a tenant is answered with 401 and runs nowhere`() {
        startWithKeys()
        listOf(
            "",
            "Key: other\r\n",
            "Key: $KEY\r\nKey: $KEY\r\n",
            "Key: \r\n",
            "Key: ${KEY}\u00e9\r\n",
            "Key: ${"x".repeat(300)}\r\n",
            "Tenant: a\r\n",
        ).forEach { headers ->
            val answer = ask(headers)
            assertEquals(401, status(answer), headers)
            assertTrue(KEY !in answer && "other" !in answer, answer)
            assertTrue("retry-after" !in answer.lowercase(), answer)
        }
        assertEquals(emptyList(), seen)
        assertEquals(200, status(ask(path = "/public/x")))
        assertNull(seen.single().headers["Tenant"])
    }

    // Guards against a caller that claims to be another tenant, and against a key that reaches an engine.
    @Test
    fun `the target gets the tenant of the key and never the key`() {
        startWithKeys()
        assertEquals(200, status(ask("kEY: $KEY\r\nTenant: b\r\ntenant: c\r\n")))
        assertEquals(200, status(ask("Key: $KEY\r\nTenant: b\r\n", path = "/public/x")))
        assertEquals(200, status(ask("Key: $KEY\r\n", path = "/stream/x")))
        assertEquals(listOf(listOf("a"), emptyList(), listOf("a")), seen.map { it.headers.all("Tenant") })
        assertEquals("2", seen.last().headers["Urgency"], "the priority of the tenant replaces that of the route")
        seen.forEach { head -> assertTrue(head.headers.lines.none { it.name.equals("Key", ignoreCase = true) || KEY in it.value }) }
    }

    // Guards against a removed key on a connection that was opened while it was valid.
    @Test
    fun `a key that a new version removes is refused on an open connection`() {
        startWithKeys()
        fixture.connect().use { caller ->
            assertEquals(200, caller.statusOf("Key: $KEY\r\n"))
            apply(3, mapOf(tenant to listOf("new")))
            assertEquals(401, caller.statusOf("Key: $KEY\r\n"))
            apply(2, mapOf(tenant to listOf(KEY)))
            assertEquals(401, caller.statusOf("Key: $KEY\r\n"), "an older version does not come back")
            assertEquals(200, caller.statusOf("Key: new\r\n"))
        }
        assertEquals(2, seen.size)
    }

    // Guards against a suspended or cut off gateway that accepts keys which may have been removed meanwhile.
    @Test
    fun `with a stale proof the gateway is not ready and answers 503, and serves again after a new proof`() {
        startWithKeys()
        assertEquals(200, status(ask("Key: $KEY\r\n")))
        jumpMs = 4_000
        assertEquals(false, onLoop { gateway.ready })
        val refused = ask("Key: $KEY\r\n")
        assertEquals(503, status(refused))
        assertTrue("Retry-After: " in refused, refused)
        assertEquals(503, status(ask("Key: other\r\n")), "the key may be in a newer configuration")
        assertEquals(401, status(ask()), "no configuration accepts a request without a key")
        assertEquals(200, status(ask(path = "/public/x")))
        assertEquals(2, seen.size)
        confirm()
        assertEquals(true, onLoop { gateway.ready })
        assertEquals(200, status(ask("Key: $KEY\r\n")))
        assertEquals(401, status(ask("Key: other\r\n")))
    }

    // Guards against refusals right after a suspension, although one call to the store brings a fresh proof.
    @Test
    fun `a request that meets a stale proof is served when a new one arrives within the wait`() {
        startWithKeys()
        jumpMs = 60_000
        fixture.connect().use { caller ->
            caller.getOutputStream().write((request("Key: $KEY\r\n") + "Connection: close\r\n\r\n").toByteArray())
            Thread.sleep(PROOF_ARRIVES_MS)
            assertEquals(0, seen.size)
            confirm()
            assertEquals(200, status(caller.getInputStream().readAllBytes().decodeToString()))
        }
    }

    // Guards against a new process that accepts keys before it has asked the store.
    @Test
    fun `a new process is not proved before its first list`() {
        startWithKeys(proved = false)
        assertEquals(503, status(ask("Key: $KEY\r\n")))
        assertEquals(503, status(ask("Key: other\r\n")))
        assertEquals(false, onLoop { gateway.ready })
        confirm()
        assertEquals(200, status(ask("Key: $KEY\r\n")))
    }

    // Guards against requests of a configuration without tenants that depend on the proof.
    @Test
    fun `without tenants no proof is needed`() {
        fixture.start(listOf(closed)) { target(it) }
        onLoop { gateway.markTargetsListed() }
        apply(2, null)
        assertEquals(200, status(ask()))
        assertEquals(200, status(ask("Key: $KEY\r\n")))
        assertEquals(true, onLoop { gateway.ready })
    }

    private companion object {
        const val KEY = "key-of-a"

        /** Within the wait for a new proof, 300 ms. */
        const val PROOF_ARRIVES_MS = 100L
    }
}
