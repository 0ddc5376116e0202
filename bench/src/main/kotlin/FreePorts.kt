package org.almondjunction.bench

import org.almondjunction.common.Address
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Allocates loopback ports below the range from which the system takes ports of outgoing connections.
 *
 * Ports come in blocks. A process claims a block by listening on its first port for as long as it runs, so that several processes never
 * allocate the same port.
 */
internal object FreePorts {
    private const val FIRST_PORT = 20_000
    private const val BLOCKS = 120
    private const val PORTS_PER_BLOCK = 100
    private val loopback = InetAddress.getByName("127.0.0.1")
    private val claims = mutableListOf<ServerSocket>()
    private val ports = ArrayDeque<Int>()

    /** Returns an address on which nothing listens, never the same one twice. Throws [IllegalStateException] if all blocks are in use. */
    @Synchronized
    fun next(): Address {
        while (true) {
            val port = ports.removeFirstOrNull() ?: claimBlock()
            if (isFree(port)) return Address("127.0.0.1", port)
        }
    }

    /** Claims a block and returns the first of its ports that can be allocated. */
    private fun claimBlock(): Int {
        for (block in 0 until BLOCKS) {
            val first = FIRST_PORT + block * PORTS_PER_BLOCK
            claims += listen(first) ?: continue
            ports += first + 1 until first + PORTS_PER_BLOCK
            return ports.removeFirst()
        }
        error("All $BLOCKS blocks of ports from $FIRST_PORT are in use.")
    }

    private fun isFree(port: Int): Boolean = listen(port)?.use { true } ?: false

    private fun listen(port: Int): ServerSocket? =
        try {
            ServerSocket(port, 1, loopback)
        } catch (_: IOException) {
            null
        }
}
