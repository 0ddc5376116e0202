package org.almondjunction.gateway

import org.almondjunction.common.Address
import org.almondjunction.common.Clock
import org.almondjunction.network.EventLoop
import org.almondjunction.network.HttpHeaders
import org.almondjunction.network.TcpConnection

/** Idle connections to one target; a connection with a protocol violation is never returned to the pool. */
internal class ConnectionPool(
    private val loop: EventLoop,
    private val address: Address,
) : AutoCloseable {
    private class IdleConnection(
        val connection: TargetConnection,
        val idleSinceMs: Long,
        val expiresMs: Long,
    )

    private val clock: Clock = loop.clock
    private val idle = ArrayList<IdleConnection>()
    private var closed = false

    /** Returns an open connection that may carry the request [id] and has been idle for at most [maximumIdleMs], or null. */
    fun takeIdle(
        id: String,
        maximumIdleMs: Long,
    ): TargetConnection? {
        val nowMs = clock.nowMs()
        for (index in idle.indices.reversed()) {
            val candidate = idle[index]
            if (candidate.expiresMs <= nowMs || candidate.connection.tcp.tryFill() != null) {
                idle.removeAt(index)
                candidate.connection.tcp.close()
            } else if (nowMs - candidate.idleSinceMs > maximumIdleMs) {
                return null
            } else if (candidate.connection.mayCarry(id)) {
                idle.removeAt(index)
                return candidate.connection
            }
        }
        return null
    }

    suspend fun dial(timeoutMs: Long): TargetConnection? =
        TcpConnection.connect(loop, address, minOf(timeoutMs, CONNECT_TIMEOUT_MS))?.let { TargetConnection(it) }

    fun release(
        connection: TargetConnection,
        answer: HttpHeaders,
    ) {
        if (closed || connection.tcp.closed || idle.size >= MAXIMUM_IDLE_CONNECTIONS) return connection.tcp.close()
        val nowMs = clock.nowMs()
        val statedMs =
            answer["Keep-Alive"]
                ?.split(',')
                ?.firstOrNull { it.trim().startsWith("timeout=") }
                ?.substringAfter('=')
                ?.trim()
                ?.toLongOrNull()
                ?.times(MILLISECONDS_PER_SECOND)
        val idleTimeoutMs = ((statedMs ?: DEFAULT_IDLE_TIMEOUT_MS) - IDLE_TIMEOUT_MARGIN_MS).coerceAtLeast(0)
        idle.add(IdleConnection(connection, nowMs, nowMs + idleTimeoutMs))
    }

    /** Closes connections whose idle time limit has passed. */
    fun sweep() {
        val nowMs = clock.nowMs()
        while (idle.isNotEmpty() && idle.first().expiresMs <= nowMs) {
            val expired = idle.removeAt(0)
            expired.connection.tcp.close()
        }
    }

    override fun close() {
        closed = true
        idle.forEach { it.connection.tcp.close() }
        idle.clear()
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** Idle time limit if the target states none. */
        const val DEFAULT_IDLE_TIMEOUT_MS = 5_000L

        /** A request sent this long before the target's idle time limit arrives before the target closes, between any two regions. */
        const val IDLE_TIMEOUT_MARGIN_MS = 400L

        /** Maximum number of idle connections to one target; above the number of concurrent requests of one gateway there. */
        const val MAXIMUM_IDLE_CONNECTIONS = 64

        /** Time limit for a target to accept; above any round trip between regions plus the delay of an accept queue. */
        const val CONNECT_TIMEOUT_MS = 1_000L
    }
}
