package org.almondjunction.protocol

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import org.almondjunction.common.Metrics

/** Accepts connections from other processes of the system. */
public class Listener(
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    private val metrics: Metrics,
) {
    /**
     * Binds [address] and serves connections until the returned job is cancelled.
     *
     * Throws if the address is in use, so at most one process can serve a target.
     */
    public suspend fun listen(
        address: Address,
        onMessage: suspend (Connection, Message) -> Unit,
        onClosed: suspend (Connection) -> Unit,
    ): Job {
        val server = aSocket(selector).tcp().bind(address.ip, address.port) { reuseAddress = true }
        return scope.launch {
            server.use {
                while (true) Connection.accept(it.accept(), scope, metrics, onMessage, onClosed)
            }
        }
    }
}
