package org.almondjunction.bench

import org.almondjunction.common.Address
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Gives out loopback ports below the range from which the system takes ports of outgoing connections.
 *
 * Ports come in blocks. A process claims a block by listening on its first port for as long as it runs, so that several processes never
 * give out the same port.
 */
internal object FreePorts {
    private const val FIRST = 20_000
    private const val BLOCKS = 120
    private const val PORTS_PER_BLOCK = 100
    private val loopback = InetAddress.getByName("127.0.0.1")
    private val claims = mutableListOf<ServerSocket>()
    private val ports = ArrayDeque<Int>()

    /** Returns an address on which nothing listens; no address is given out twice. */
    @Synchronized
    fun next(): Address {
        while (true) {
            val port = ports.removeFirstOrNull() ?: claim()
            if (isFree(port)) return Address("127.0.0.1", port)
        }
    }

    /** Claims a block and returns its first port to give out. */
    private fun claim(): Int {
        for (block in 0 until BLOCKS) {
            val first = FIRST + block * PORTS_PER_BLOCK
            claims += listen(first) ?: continue
            ports += first + 1 until first + PORTS_PER_BLOCK
            return ports.removeFirst()
        }
        error("No block of ports is free.")
    }

    private fun isFree(port: Int): Boolean = listen(port)?.use { true } ?: false

    private fun listen(port: Int): ServerSocket? =
        try {
            ServerSocket(port, 1, loopback)
        } catch (_: IOException) {
            null
        }
}
