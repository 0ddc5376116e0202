package org.almondjunction.entry

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Address
import org.almondjunction.common.Clock
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.common.RequestId
import org.almondjunction.decisions.ConnectionAction
import org.almondjunction.decisions.ConnectionHealth
import org.almondjunction.protocol.Connection
import org.almondjunction.protocol.Message
import org.almondjunction.protocol.Work
import java.util.concurrent.ConcurrentHashMap

/**
 * Requests of this entry host to one agent, over a connection that is dialled on demand.
 *
 * A connection that is silent while requests are outstanding is replaced by a new one, on which every answer resumes at its offset.
 */
internal class TargetLink(
    private val host: String,
    private val address: Address,
    private val selector: SelectorManager,
    private val clock: Clock,
    private val metrics: Metrics,
    private val scope: CoroutineScope,
) {
    private class Session(
        val connection: Connection,
        val incarnation: String,
        val health: ConnectionHealth,
        @Volatile var draining: Boolean,
    )

    private val mutex = Mutex()
    private val calls = ConcurrentHashMap<RequestId, TargetCall>()

    @Volatile
    private var session: Session? = null
    private var monitor: Job? = null

    /** Requests in progress. */
    val outstanding: Int get() = calls.size

    /** Sends a request; returns null, with the request not run, when the agent is unreachable or shutting down. */
    suspend fun start(
        id: RequestId,
        work: Work,
        timeLeftMs: Long,
        priority: Int,
    ): TargetCall? {
        val current = mutex.withLock { liveSession() ?: dial()?.also { session = it } }?.takeUnless { it.draining } ?: return null
        val call = TargetCall(id, current.incarnation)
        calls[id] = call
        val sent = current.connection.send(Message.Start(id, work, timeLeftMs, priority, clock.nowMs()))
        if (!sent) scope.launch { recover(current, call) }
        monitorWhileBusy()
        return call
    }

    /** Asks the agent to drop [call] if it has not started. */
    suspend fun withdraw(call: TargetCall) {
        session?.connection?.send(Message.Withdraw(call.id))
    }

    /** Acknowledges to the agent that the answer was forwarded up to [offset]. */
    suspend fun acknowledge(
        call: TargetCall,
        offset: Long,
    ) {
        session?.connection?.send(Message.Acknowledge(call.id, offset))
    }

    /** Removes [call]; cancels it at the agent unless it is [concluded]. */
    suspend fun finish(
        call: TargetCall,
        concluded: Boolean,
    ) {
        if (calls.remove(call.id) == null) return
        call.events.cancel()
        session?.let { current ->
            if (!concluded) current.connection.send(Message.Cancel(call.id))
            closeIfDrained(current)
        }
    }

    private fun closeIfDrained(current: Session) {
        if (current.draining && calls.isEmpty()) closeIdle(current)
    }

    private fun liveSession() = session?.takeIf { !it.connection.closed }

    private suspend fun dial(): Session? {
        val helloReceived = CompletableDeferred<Message.Hello>()
        val health = ConnectionHealth(startMs = clock.nowMs())
        val connection =
            Connection.dial(
                selector,
                address,
                scope,
                metrics,
                onMessage = { _, message ->
                    synchronized(health) { health.recordActivity(clock.nowMs()) }
                    when (message) {
                        is Message.Hello -> helloReceived.complete(message)
                        is Message.RequestMessage -> calls[message.id]?.onMessage(message)
                        is Message.Leaving -> session?.let { markDraining(it) }
                        else -> Unit
                    }
                },
                onClosed = { closed -> session?.takeIf { it.connection === closed }?.let { recover(it) } },
            ) ?: return null
        connection.send(Message.Hello(host, incarnation = ""))
        val hello = withTimeoutOrNull(HELLO_TIMEOUT_MS) { helloReceived.await() }
        if (hello == null) {
            connection.close()
            return null
        }
        return Session(connection, hello.incarnation, health, hello.leaving)
    }

    @Synchronized
    private fun monitorWhileBusy() {
        if (monitor?.isActive == true) return
        monitor =
            scope.launch {
                while (true) {
                    delay(CHECK_INTERVAL_MS)
                    val current = session ?: return@launch
                    when (synchronized(current.health) { current.health.check(clock.nowMs(), working = calls.isNotEmpty()) }) {
                        ConnectionAction.KEEP -> Unit
                        ConnectionAction.PROBE -> scope.launch { current.connection.send(Message.Ping(clock.nowMs())) }
                        ConnectionAction.REPLACE -> recover(current)
                        ConnectionAction.CLOSE_IDLE -> return@launch closeIdle(current)
                    }
                }
            }
    }

    private fun markDraining(current: Session) {
        current.draining = true
        closeIfDrained(current)
    }

    private fun closeIdle(current: Session) {
        if (session === current) session = null
        current.connection.close()
    }

    /** Recovers [call], whose message could not be sent, even if the connection has been replaced since. */
    private suspend fun recover(
        failed: Session,
        call: TargetCall,
    ) {
        recover(failed)
        session?.let { resume(call, it) } ?: call.reportLost()
    }

    private suspend fun recover(failed: Session) {
        mutex.withLock {
            if (session !== failed) return
            metrics.count(MetricName.RECONNECTIONS, if (failed.connection.closed) "closed" else "silent")
            val replacement = if (calls.isEmpty()) null else dialWithRetries()
            session = replacement
            if (replacement ==
                null
            ) {
                calls.values.forEach { it.reportLost() }
            } else {
                calls.values.forEach { resume(it, replacement) }
            }
            failed.connection.close()
        }
    }

    private suspend fun dialWithRetries(): Session? {
        repeat(RECOVERY_ATTEMPTS) {
            dial()?.let { return it }
            delay(RECOVERY_DELAY_MS)
        }
        return null
    }

    private suspend fun resume(
        call: TargetCall,
        replacement: Session,
    ) {
        if (call.incarnation != replacement.incarnation) {
            call.reportLost()
            return
        }
        replacement.connection.send(Message.Resume(call.id, call.offset))
    }

    private companion object {
        const val HELLO_TIMEOUT_MS = 1_000L
        const val CHECK_INTERVAL_MS = 100L
        const val RECOVERY_ATTEMPTS = 3
        const val RECOVERY_DELAY_MS = 150L
    }
}
