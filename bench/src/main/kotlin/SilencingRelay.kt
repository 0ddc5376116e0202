package org.almondjunction.bench

import org.almondjunction.common.Address
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Passes TCP connections on to [backend]. Connections can be made to swallow everything, without a reset, while new ones work. */
internal class SilencingRelay(
    private val backend: Address,
) : AutoCloseable {
    private class Pair(
        val front: Socket,
        val back: Socket,
    ) {
        @Volatile
        var silentForward = false

        @Volatile
        var silentBackward = false
    }

    private val server = ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"))
    private val pairs = CopyOnWriteArrayList<Pair>()

    /** Where the relay listens. */
    val address: Address = Address("127.0.0.1", server.localPort)

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Makes every open connection swallow what the dialling side sends, what it receives, or both. */
    fun silence(
        forward: Boolean,
        backward: Boolean,
    ) = pairs.forEach {
        it.silentForward = forward
        it.silentBackward = backward
    }

    private fun accept() {
        try {
            while (true) {
                val front = server.accept()
                val back = runCatching { Socket(backend.ip, backend.port) }.getOrNull()
                if (back == null) front.close() else relay(Pair(front, back))
            }
        } catch (_: IOException) {
            // The relay was closed.
        }
    }

    private fun relay(pair: Pair) {
        listOf(pair.front, pair.back).forEach { it.tcpNoDelay = true }
        pairs += pair
        thread(isDaemon = true) { copy(pair, pair.front, pair.back) { pair.silentForward } }
        thread(isDaemon = true) { copy(pair, pair.back, pair.front) { pair.silentBackward } }
    }

    private fun copy(
        pair: Pair,
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
            pairs -= pair
        }
    }

    override fun close() {
        server.close()
        pairs.forEach {
            it.front.close()
            it.back.close()
        }
    }

    private companion object {
        const val BACKLOG = 200
        const val BUFFER_BYTES = 16 * 1024
    }
}
