package org.almondjunction.network

import org.almondjunction.common.Address
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel

/** Accepts connections at [address] and passes each to [onConnection] on the loop. Throws [IOException] when the address is in use. */
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

    /** Port that the listener is bound to, also when [address] has port 0 and the system chooses it. */
    public val port: Int = (channel.localAddress as InetSocketAddress).port

    private var acceptFailing = false

    init {
        loop.register(channel, SelectionKey.OP_ACCEPT) { acceptPending(it) }
    }

    /** Accepts pending connections. A limited number, since clients may connect faster than that; the channel stays ready for the rest. */
    private fun acceptPending(key: SelectionKey) {
        repeat(MAXIMUM_ACCEPTS_PER_TURN) {
            if (!channel.isOpen) return
            val accepted =
                try {
                    accept(channel)
                } catch (failure: Throwable) {
                    return pauseAccepting(key, failure)
                }
            acceptFailing = false
            setUpConnection(accepted ?: return)
        }
    }

    /**
     * Stops accepting for [ACCEPT_RETRY_DELAY_MS] after a failed accept. Causes are a client that has disconnected and a shortage of file
     * descriptors or memory. A pending connection keeps the channel ready, so without the pause the loop would do
     * nothing else until they are free.
     */
    private fun pauseAccepting(
        key: SelectionKey,
        failure: Throwable,
    ) {
        key.interestOps(0)
        loop.schedule(ACCEPT_RETRY_DELAY_MS) { if (key.isValid) key.interestOps(SelectionKey.OP_ACCEPT) }
        if (!acceptFailing) logUnexpected("accept", failure)
        acceptFailing = true
    }

    private fun setUpConnection(accepted: SocketChannel) {
        val connection =
            try {
                accepted.configureBlocking(false)
                accepted.setOption(StandardSocketOptions.TCP_NODELAY, true)
                TcpConnection(loop, accepted)
            } catch (failure: Throwable) {
                // A client that has already disconnected is not an error.
                if (failure !is IOException) logUnexpected("connection accepted", failure)
                return accepted.close()
            }
        callHandler(connection)
    }

    /** An unexpected error in [onConnection], including JVM errors, closes only that connection; the listener continues. */
    private fun callHandler(connection: TcpConnection) {
        try {
            onConnection(connection)
        } catch (failure: Throwable) {
            logUnexpected("connection accepted", failure)
            connection.close()
        }
    }

    /** Stops accepting; accepted connections stay open. */
    override fun close(): Unit = channel.close()

    private companion object {
        /** Maximum number of connections pending acceptance; larger than any burst that one host can serve. */
        const val BACKLOG = 1_024

        /** Connections accepted before the loop serves other sockets; bursts of callers are rarely larger. */
        const val MAXIMUM_ACCEPTS_PER_TURN = 64

        /** Time for file descriptors to become free after a failed accept; well below the connect timeouts of clients. */
        const val ACCEPT_RETRY_DELAY_MS = 50L
    }
}
