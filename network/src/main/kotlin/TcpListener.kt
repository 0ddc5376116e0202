package org.almondjunction.network

import org.almondjunction.common.Address
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel

/** Accepts connections at [address] and hands each to [onConnection] on the loop. Throws [IOException] when the address is taken. */
public class TcpListener internal constructor(
    private val loop: EventLoop,
    public val address: Address,
    private val accept: (ServerSocketChannel) -> SocketChannel?,
    private val onConnection: (TcpConnection) -> Unit,
) : AutoCloseable {
    public constructor(loop: EventLoop, address: Address, onConnection: (TcpConnection) -> Unit) :
        this(loop, address, ServerSocketChannel::accept, onConnection)

    private val channel =
        ServerSocketChannel.open().apply {
            configureBlocking(false)
            setOption(StandardSocketOptions.SO_REUSEADDR, true)
            bind(InetSocketAddress(address.ip, address.port), BACKLOG)
        }

    /** Port that is listened on, also where [address] left the choice to the system. */
    public val port: Int = (channel.localAddress as InetSocketAddress).port

    private var short = false

    init {
        loop.register(channel, SelectionKey.OP_ACCEPT) { acceptAll(it) }
    }

    private fun acceptAll(key: SelectionKey) {
        while (channel.isOpen) {
            val accepted =
                try {
                    accept(channel)
                } catch (failure: Throwable) {
                    return pause(key, failure)
                }
            short = false
            handOver(accepted ?: return)
        }
    }

    /**
     * The caller left before it was accepted, or descriptors or memory are short. A caller that waits stays an event: without a pause the
     * loop would do nothing else until they are free.
     */
    private fun pause(
        key: SelectionKey,
        failure: Throwable,
    ) {
        key.interestOps(0)
        loop.schedule(PAUSE_MS) { if (key.isValid) key.interestOps(SelectionKey.OP_ACCEPT) }
        if (!short) logUnexpected("accept", failure)
        short = true
    }

    private fun handOver(accepted: SocketChannel) {
        val connection =
            try {
                accepted.configureBlocking(false)
                accepted.setOption(StandardSocketOptions.TCP_NODELAY, true)
                TcpConnection(loop, accepted)
            } catch (failure: Throwable) {
                // A caller that has left is no error.
                if (failure !is IOException) logUnexpected("connection accepted", failure)
                return accepted.close()
            }
        hand(connection)
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

        /** Time after a failed accept in which descriptors may become free; well below the time that callers allow for a connection. */
        const val PAUSE_MS = 50L
    }
}
