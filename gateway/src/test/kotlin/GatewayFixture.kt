package org.almondjunction.gateway

import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.Address
import org.almondjunction.common.HostClock
import org.almondjunction.common.Location
import org.almondjunction.common.Metrics
import org.almondjunction.common.RegionId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.SystemHostClock
import org.almondjunction.common.TargetId
import org.almondjunction.common.ZoneId
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.network.EventLoop
import org.almondjunction.network.TcpConnection
import org.almondjunction.network.TcpListener
import org.almondjunction.network.processScope
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** A gateway on loopback with targets whose connections are served by the test. */
internal class GatewayFixture(
    graceMs: Long = 8_000,
    revocationMs: Long? = null,
    hostClock: HostClock = SystemHostClock,
) : AutoCloseable {
    val loop = EventLoop()
    val scope = processScope(loop)
    private val ports = unusedPorts(3)
    private val callersPort = ports[0]
    val settings =
        GatewaySettings(
            name = "g",
            topology = Topology(Location(RegionId("r"), ZoneId("z")), mapOf(ZoneId("z") to RegionId("r"))),
            callerAddress = Address(LOOPBACK, callersPort),
            readinessAddress = Address(LOOPBACK, ports[1]),
            readinessPath = "/ready",
            keeperPort = ports[2],
            graceMs = graceMs,
            revocationMs = revocationMs,
        )
    val gateway = Gateway(settings, NAMES, loop, scope, Metrics(), hostClock)
    private val loopThread = thread { loop.run() }

    /** Entries of the targets that were started. */
    val entries = mutableListOf<TargetEntry>()

    /** Starts the gateway with a single [route] and a target on each of [hosts]; [target] serves their connections. */
    fun start(
        route: Route,
        engine: EngineConfiguration? = null,
        hosts: List<String> = List(TARGETS) { LOOPBACK },
        target: suspend (TcpConnection) -> Unit,
    ): Unit = start(listOf(route), engine, hosts, target = target)

    /**
     * Starts the gateway with [routes] and a target on each of [hosts]; [target] serves their connections.
     * Throws what the start throws, such as a [java.net.BindException] when a port is in use.
     */
    fun start(
        routes: List<Route>,
        engine: EngineConfiguration? = null,
        hosts: List<String> = List(TARGETS) { LOOPBACK },
        softwareVersions: List<String?> = hosts.map { null },
        target: suspend (TcpConnection) -> Unit,
    ) {
        val started =
            scope.async {
                gateway.start()
                gateway.applyConfiguration(GatewayConfiguration(1, routes, mapOf(SERVICE to ServiceConfiguration(SERVICE, 9, engine))))
                hosts.forEachIndexed { index, host ->
                    val listener = TcpListener(loop, Address(host, 0)) { connection -> scope.launch { target(connection) } }
                    val address = Address(host, listener.port)
                    val entry =
                        TargetEntry(TargetId("t$index"), SERVICE, address, ZoneId("z"), true, 4, 1, 1, emptyMap(), softwareVersions[index])
                    entries += entry
                    gateway.directory.put(entry)
                }
            }
        runBlocking { started.await() }
    }

    fun connect(): Socket = Socket(LOOPBACK, callersPort)

    /** Sends [request] on a new connection and returns all received bytes as text. */
    fun ask(request: String): String =
        connect().use { socket ->
            socket.getOutputStream().write(request.toByteArray())
            socket.getInputStream().readAllBytes().decodeToString()
        }

    override fun close() {
        loop.stop()
        loopThread.join()
    }

    companion object {
        const val TARGETS = 2
        const val LOOPBACK = "127.0.0.1"
        private val SERVICE = ServiceId("s")
        val NAMES =
            HeaderNames(
                "Id",
                "Deadline",
                "Model",
                "Tokens",
                "Parts",
                "Last-Event",
                "Signature",
                "Target",
                "Answering",
                "Not-Run",
                "Urgency",
                "Key",
                "Tenant",
                "Server-Leaving",
                "Retry-After",
                "Resumes",
                setOf("target", "key", "tenant"),
            )

        /** Returns [count] different ports; all are held until the last is known, since the system may give a released port again. */
        private fun unusedPorts(count: Int): List<Int> {
            val sockets = List(count) { ServerSocket(0) }
            return sockets.map { socket -> socket.use { it.localPort } }
        }

        /** Returns a route for all paths with defaults for the other properties. */
        fun route(
            retryKind: RetrySafety,
            streaming: Boolean,
        ) = Route(
            name = "r",
            host = "h",
            pathPrefix = "/",
            retryKind = retryKind,
            streaming = streaming,
            destinations = listOf(Destination(SERVICE, 1.0)),
            timeoutMs = 20_000,
            latencyObjectiveMs = 10_000,
            priority = 0,
            maximumTargets = 2,
            callerIdleTimeoutMs = 60_000,
        )
    }
}
