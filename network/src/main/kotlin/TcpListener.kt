package org.almondjunction.network

import org.almondjunction.common.Address
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel

/** Accepts connections at [address] and hands each to [onConnection] on the loop. Throws [IOException] when the address is taken. */
public class TcpListener(
    private val loop: EventLoop,
    public val address: Address,
    private val onConnection: (TcpConnection) -> Unit,
) : AutoCloseable {
    private val channel =
        ServerSocketChannel.open().apply {
            configureBlocking(false)
            setOption(StandardSocketOptions.SO_REUSEADDR, true)
            bind(InetSocketAddress(address.ip, address.port), BACKLOG)
        }

    /** Port that is listened on, also where [address] left the choice to the system. */
    public val port: Int = (channel.localAddress as InetSocketAddress).port

    init {
        loop.register(channel, SelectionKey.OP_ACCEPT) { accept() }
    }

    private fun accept() {
        while (channel.isOpen) {
            val accepted =
                try {
                    channel.accept() ?: return
                } catch (_: IOException) {
                    // The caller left before it was accepted, or descriptors are short; the next event tries again.
                    return
                }
            try {
                accepted.configureBlocking(false)
                accepted.setOption(StandardSocketOptions.TCP_NODELAY, true)
            } catch (_: IOException) {
                accepted.close()
                continue
            }
            hand(TcpConnection(loop, accepted))
        }
    }

    /** An unexpected error about one connection, also one of the Java machine, ends that one alone; the listener goes on. */
    private fun hand(connection: TcpConnection) {
        try {
            onConnection(connection)
        } catch (failure: Throwable) {
            logUnexpected("connection accepted", failure)
            connection.close()
        }
    }

    /** Stops accepting; connections that were accepted stay. */
    override fun close(): Unit = channel.close()

    private companion object {
        /** Connections that may wait to be accepted; a bound above any burst that one host can serve. */
        const val BACKLOG = 1_024
    }
}
