package org.almondjunction.bench

import org.almondjunction.common.Address
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/** Gives out loopback ports below the range from which the system takes ports of outgoing connections. */
internal object FreePorts {
    private const val FIRST = 20_000
    private const val COUNT = 12_000
    private const val STRIDE = 37
    private val loopback = InetAddress.getByName("127.0.0.1")
    private val next = AtomicInteger((ProcessHandle.current().pid() * STRIDE % COUNT).toInt())

    /** Returns an address on which nothing listens; no address is given out twice. */
    fun next(): Address {
        repeat(COUNT) {
            val port = FIRST + next.getAndIncrement() % COUNT
            if (isFree(port)) return Address("127.0.0.1", port)
        }
        error("No port is free.")
    }

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, loopback).use { true }
        } catch (_: IOException) {
            false
        }
}
