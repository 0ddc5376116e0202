package org.almondjunction.network

import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import org.almondjunction.common.EventLog
import java.io.FileInputStream
import java.io.IOException

/** A process that uses up its descriptors, dials, and prints [DescriptorShortage.NO_CONNECTION] where that is what it gets. */
internal object DescriptorShortage {
    const val NO_CONNECTION = "no connection"

    @JvmStatic
    fun main(arguments: Array<String>) {
        val loop = EventLoop()
        processScope(loop).launch {
            try {
                val nobody = Address("127.0.0.1", 1)
                loadClasses(loop, nobody)
                val held = useUp()
                val connection = TcpConnection.dial(loop, nobody, DIAL_TIMEOUT_MS)
                held.forEach { it.close() }
                if (connection == null) println(NO_CONNECTION)
            } finally {
                loop.stop()
            }
        }
        loop.run()
    }

    /** Without descriptors no class can be loaded. */
    private suspend fun loadClasses(
        loop: EventLoop,
        address: Address,
    ) {
        TcpConnection.dial(loop, address, DIAL_TIMEOUT_MS)
        EventLog.warn("begins")
    }

    private fun useUp(): List<FileInputStream> {
        val held = mutableListOf<FileInputStream>()
        while (true) {
            try {
                held += FileInputStream("/dev/null")
            } catch (_: IOException) {
                return held
            }
        }
    }

    private const val DIAL_TIMEOUT_MS = 1_000L
}
