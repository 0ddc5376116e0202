package org.almondjunction.bench

import org.almondjunction.common.Address
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Relays TCP connections to [backend]. It can discard the data of open connections without closing them, while new connections work. */
internal class SilencingRelay(
    private val backend: Address,
) : AutoCloseable {
    private class RelayedConnection(
        val inbound: Socket,
        val outbound: Socket,
    ) {
        @Volatile
        var silentForward = false

        @Volatile
        var silentBackward = false
    }

    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val connections = CopyOnWriteArrayList<RelayedConnection>()

    /** Address on which the relay listens. */
    val address: Address = Address("127.0.0.1", server.localPort)

    init {
        thread(isDaemon = true) { accept() }
    }

    /**
     * Discards the data of every open connection from now on.
     *
     * @param forward whether data from the connecting side is discarded
     * @param backward whether data towards the connecting side is discarded
     */
    fun silence(
        forward: Boolean,
        backward: Boolean,
    ) = connections.forEach {
        it.silentForward = forward
        it.silentBackward = backward
    }

    private fun accept() {
        try {
            while (true) {
                val inbound = server.accept()
                val outbound = runCatching { Socket(backend.ip, backend.port) }.getOrNull()
                if (outbound == null) inbound.close() else relay(RelayedConnection(inbound, outbound))
            }
        } catch (_: IOException) {
            // The relay was closed.
        }
    }

    private fun relay(connection: RelayedConnection) {
        listOf(connection.inbound, connection.outbound).forEach { it.tcpNoDelay = true }
        connections += connection
        thread(isDaemon = true) { copy(connection, connection.inbound, connection.outbound) { connection.silentForward } }
        thread(isDaemon = true) { copy(connection, connection.outbound, connection.inbound) { connection.silentBackward } }
    }

    private fun copy(
        connection: RelayedConnection,
        from: Socket,
        to: Socket,
        silent: () -> Boolean,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                if (count < 0) break
                if (!silent()) to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // Either side ended the connection.
        }
        if (!silent()) {
            runCatching { to.close() }
            connections -= connection
        }
    }

    override fun close() {
        server.close()
        connections.forEach {
            it.inbound.close()
            it.outbound.close()
        }
    }

    private companion object {
        const val BACKLOG = 200
        const val BUFFER_BYTES = 16 * 1024
    }
}
