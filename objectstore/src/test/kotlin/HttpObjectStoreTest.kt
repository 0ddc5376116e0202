package org.almondjunction.objectstore

import com.sun.net.httpserver.HttpServer
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.Address
import org.almondjunction.common.Metrics
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertEquals

class HttpObjectStoreTest {
    /** Returns what [read] reads from a service that answers every call with [body]. */
    private fun <T> answered(
        body: String,
        read: suspend HttpObjectStore.() -> T,
    ): T {
        val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
        server.createContext("/") { exchange ->
            val bytes = body.toByteArray()
            exchange.sendResponseHeaders(200, bytes.size.toLong())
            exchange.responseBody.use { it.write(bytes) }
        }
        server.start()
        try {
            return HttpObjectStore(Address("127.0.0.1", server.address.port), Metrics()).use { runBlocking { it.read() } }
        } finally {
            server.stop(0)
        }
    }

    // Guards against an entry host that never learns another state because of one object of the list.
    @Test
    fun `an object that cannot be decoded does not affect the others`() {
        val odd = listOf("null", "7", "[]", "{}", """{"key":"b","version":"x","value":"v"}""", """{"key":"b","version":1,"value":{}}""")
        for (entry in odd) {
            val objects = """{"key":"a","version":1,"value":"v"},$entry,{"key":"c","version":2,"value":"v","new":1}"""
            val body = """{"revision":9,"objects":[$objects]}"""
            assertEquals(listOf("a", "c"), answered(body) { list("") }?.objects?.map { it.key }, entry)
            assertEquals(listOf("a", "c"), answered(body) { watch("", 0, 0) }?.objects?.map { it.key }, entry)
        }
    }

    // Guards against a whole fleet that is unknown because of one host or target of the list.
    @Test
    fun `a host or target that cannot be decoded does not affect the others`() {
        val target = """{"target":"t","service":"s","kind":"ENGINE","agent":{"ip":"10.0.0.1","port":80}}"""
        val location = """"location":{"region":"r","zone":"z"}"""

        fun host(
            name: String,
            targets: String,
        ) = """{"host":"$name",$location,"targets":$targets}"""
        val odd =
            mapOf(
                "null" to null,
                "{}" to null,
                host("b", "7") to null,
                host("b", "[$target]").replace("{\"host\"", "{\"status\":\"ASLEEP\",\"host\"") to null,
                host("b", "[$target,7,{},${target.replace("ENGINE", "TOASTER")}]") to listOf("t"),
                host("b", "[${target.replace("80", "\"x\"")}]") to emptyList(),
            )
        for ((entry, targets) in odd) {
            val body = """{"version":3,"hosts":[${host("a", "[$target]")},$entry,${host("c", "[]")}]}"""
            val hosts =
                answered(body) { hosts(0, 0) }?.fleet?.hosts?.associate { host ->
                    host.host.value to
                        host.targets.map { it.target.value }
                }
            val expected = mapOf("a" to listOf("t")) + listOfNotNull(targets?.let { "b" to it }) + ("c" to emptyList())
            assertEquals(expected, hosts, entry)
        }
    }
}
