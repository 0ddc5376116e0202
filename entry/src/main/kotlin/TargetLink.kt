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
 * Requests of this entry host at one agent, over a connection that is dialled on demand.
 *
 * A connection that goes silent while work is outstanding is replaced by a new one, on which every answer is resumed at its offset.
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
        @Volatile var leaving: Boolean,
    )

    private val mutex = Mutex()
    private val calls = ConcurrentHashMap<RequestId, TargetCall>()

    @Volatile
    private var session: Session? = null
    private var monitor: Job? = null

    /** Requests in progress. */
    val outstanding: Int get() = calls.size

    /** Hands a request over; returns null when the agent cannot be reached, so that the request did not run. */
    suspend fun start(
        id: RequestId,
        work: Work,
        timeLeftMs: Long,
        priority: Int,
    ): TargetCall? {
        val current = mutex.withLock { liveSession() ?: dial()?.also { session = it } }?.takeUnless { it.leaving } ?: return null
        val call = TargetCall(id, current.incarnation)
        calls[id] = call
        val sent = current.connection.send(Message.Start(id, work, timeLeftMs, priority, clock.nowMs()))
        if (!sent) scope.launch { recover(current, call) }
        monitorWhileBusy()
        return call
    }

    /** Asks the agent to give [call] up if it has not begun. */
    suspend fun withdraw(call: TargetCall) {
        session?.connection?.send(Message.Withdraw(call.id))
    }

    /** Tells the agent that the answer was passed on up to [offset]. */
    suspend fun acknowledge(
        call: TargetCall,
        offset: Long,
    ) {
        session?.connection?.send(Message.Acknowledge(call.id, offset))
    }

    /** Ends [call]; unless it is [concluded], the agent is told that nobody waits for it. */
    suspend fun finish(
        call: TargetCall,
        concluded: Boolean,
    ) {
        if (calls.remove(call.id) == null) return
        call.events.cancel()
        session?.let { current ->
            if (!concluded) current.connection.send(Message.Cancel(call.id))
            closeIfLeaving(current)
        }
    }

    private fun closeIfLeaving(current: Session) {
        if (current.leaving && calls.isEmpty()) closeIdle(current)
    }

    private fun liveSession() = session?.takeIf { !it.connection.closed }

    private suspend fun dial(): Session? {
        val greeting = CompletableDeferred<Message.Hello>()
        val health = ConnectionHealth(startMs = clock.nowMs())
        val connection =
            Connection.dial(
                selector,
                address,
                scope,
                metrics,
                onMessage = { _, message ->
                    synchronized(health) { health.heard(clock.nowMs()) }
                    when (message) {
                        is Message.Hello -> greeting.complete(message)
                        is Message.AboutRequest -> calls[message.id]?.take(message)
                        is Message.Leaving -> session?.let { noteLeaving(it) }
                        else -> Unit
                    }
                },
                onClosed = { closed -> session?.takeIf { it.connection === closed }?.let { recover(it) } },
            ) ?: return null
        connection.send(Message.Hello(host, incarnation = ""))
        val hello = withTimeoutOrNull(GREETING_TIMEOUT_MS) { greeting.await() }
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

    private fun noteLeaving(current: Session) {
        current.leaving = true
        closeIfLeaving(current)
    }

    private fun closeIdle(current: Session) {
        if (session === current) session = null
        current.connection.close()
    }

    /** Recovers [call], whose message could not be sent, also where the connection was replaced meanwhile. */
    private suspend fun recover(
        failed: Session,
        call: TargetCall,
    ) {
        recover(failed)
        session?.let { resume(call, it) } ?: call.lost()
    }

    private suspend fun recover(failed: Session) {
        mutex.withLock {
            if (session !== failed) return
            metrics.count(MetricName.RECONNECTIONS, if (failed.connection.closed) "closed" else "silent")
            val replacement = if (calls.isEmpty()) null else dialRepeatedly()
            session = replacement
            if (replacement ==
                null
            ) {
                calls.values.forEach { it.lost() }
            } else {
                calls.values.forEach { resume(it, replacement) }
            }
            failed.connection.close()
        }
    }

    private suspend fun dialRepeatedly(): Session? {
        repeat(RECOVERY_TRIES) {
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
            call.lost()
            return
        }
        replacement.connection.send(Message.Resume(call.id, call.offset))
    }

    private companion object {
        const val GREETING_TIMEOUT_MS = 1_000L
        const val CHECK_INTERVAL_MS = 100L
        const val RECOVERY_TRIES = 3
        const val RECOVERY_DELAY_MS = 150L
    }
}
