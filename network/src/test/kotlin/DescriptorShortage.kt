package org.almondjunction.network

import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import org.almondjunction.common.EventLog
import java.io.FileInputStream
import java.io.IOException

/** Process that exhausts its file descriptors, connects, and prints [DescriptorShortage.NO_CONNECTION] when that returns null. */
internal object DescriptorShortage {
    const val NO_CONNECTION = "no connection"

    @JvmStatic
    fun main(arguments: Array<String>) {
        val loop = EventLoop()
        processScope(loop).launch {
            try {
                val unusedAddress = Address("127.0.0.1", 1)
                loadClasses(loop, unusedAddress)
                val openStreams = exhaustDescriptors()
                val connection = TcpConnection.connect(loop, unusedAddress, CONNECT_TIMEOUT_MS)
                openStreams.forEach { it.close() }
                if (connection == null) println(NO_CONNECTION)
            } finally {
                loop.stop()
            }
        }
        loop.run()
    }

    /** Loads the classes needed later; no class can be loaded without a free file descriptor. */
    private suspend fun loadClasses(
        loop: EventLoop,
        address: Address,
    ) {
        TcpConnection.connect(loop, address, CONNECT_TIMEOUT_MS)
        EventLog.warn("started")
    }

    private fun exhaustDescriptors(): List<FileInputStream> {
        val openStreams = mutableListOf<FileInputStream>()
        while (true) {
            try {
                openStreams += FileInputStream("/dev/null")
            } catch (_: IOException) {
                return openStreams
            }
        }
    }

    private const val CONNECT_TIMEOUT_MS = 1_000L
}
