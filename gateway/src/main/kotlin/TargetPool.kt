package org.almondjunction.gateway

import org.almondjunction.common.Address
import org.almondjunction.common.Clock
import org.almondjunction.network.EventLoop
import org.almondjunction.network.HttpHeaders
import org.almondjunction.network.TcpConnection

/** Idle connections to one target; a connection with a protocol violation is never returned to the pool. */
internal class TargetPool(
    private val loop: EventLoop,
    private val address: Address,
) : AutoCloseable {
    private class Kept(
        val connection: TcpConnection,
        val sinceMs: Long,
        val untilMs: Long,
    )

    private val clock: Clock = loop.clock
    private val kept = ArrayDeque<Kept>()
    private var closed = false

    /** Returns an open connection that has been idle for at most [youngerThanMs], or null. */
    fun takeKept(youngerThanMs: Long): TcpConnection? {
        val nowMs = clock.nowMs()
        while (true) {
            val newest = kept.removeLastOrNull() ?: return null
            val sound = newest.untilMs > nowMs && newest.connection.fillNow() == null
            if (sound && nowMs - newest.sinceMs <= youngerThanMs) return newest.connection
            if (sound) {
                kept.addLast(newest)
                return null
            }
            newest.connection.close()
        }
    }

    suspend fun dial(timeoutMs: Long): TcpConnection? = TcpConnection.dial(loop, address, minOf(timeoutMs, CONNECT_TIMEOUT_MS))

    fun giveBack(
        connection: TcpConnection,
        answer: HttpHeaders,
    ) {
        if (closed || connection.closed || kept.size >= MOST_KEPT) return connection.close()
        val nowMs = clock.nowMs()
        val statedMs =
            answer["Keep-Alive"]
                ?.split(',')
                ?.firstOrNull { it.trim().startsWith("timeout=") }
                ?.substringAfter('=')
                ?.trim()
                ?.toLongOrNull()
                ?.times(MILLISECONDS_PER_SECOND)
        val keepMs = ((statedMs ?: DEFAULT_KEEP_MS) - KEEP_MARGIN_MS).coerceAtLeast(0)
        kept.addLast(Kept(connection, nowMs, nowMs + keepMs))
    }

    /** Closes connections whose idle time limit has passed. */
    fun sweep() {
        val nowMs = clock.nowMs()
        while (kept.isNotEmpty() && kept.first().untilMs <= nowMs) kept.removeFirst().connection.close()
    }

    override fun close() {
        closed = true
        kept.forEach { it.connection.close() }
        kept.clear()
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** Idle time limit if the target states none. */
        const val DEFAULT_KEEP_MS = 5_000L

        /** A request sent this long before the target's idle time limit arrives before the target closes, between any two regions. */
        const val KEEP_MARGIN_MS = 400L

        /** Maximum number of idle connections to one target; above the number of concurrent requests of one gateway there. */
        const val MOST_KEPT = 64

        /** Time limit for a target to accept; above any round trip between regions plus the delay of an accept queue. */
        const val CONNECT_TIMEOUT_MS = 1_000L
    }
}
