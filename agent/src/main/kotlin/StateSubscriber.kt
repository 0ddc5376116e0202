package org.almondjunction.agent

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.almondjunction.common.Address
import org.almondjunction.common.Clock
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.decisions.Backoff
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.RightKey
import org.almondjunction.decisions.TargetEvent
import org.almondjunction.protocol.Connection
import org.almondjunction.protocol.Message
import kotlin.random.Random

/** Maintains a session with one entry host, receives the accepted state from it and reports the target's status to it. */
internal class StateSubscriber(
    private val settings: AgentSettings,
    private val incarnation: String,
    private val controller: TargetController,
    private val selector: SelectorManager,
    private val clock: Clock,
    private val metrics: Metrics,
    private val scope: CoroutineScope,
) {
    private val entryOrder = Rendezvous.order(settings.target.value, settings.entries) { it.toString() }
    private val backoff = Backoff(initialMs = 200, maximumMs = 5_000, random = Random.Default)

    @Volatile
    private var connection: Connection? = null

    @Volatile
    private var lastReceivedMs = 0L

    /** Whether the entry host's state is older than this process's state; the subscription is repeated until it has caught up. */
    @Volatile
    private var entryStale = false

    /** Notifies the entry host that [rights] are released; repeated by the controller until they are gone from the accepted state. */
    suspend fun releaseRights(rights: List<RightKey>) {
        connection?.send(Message.ReleaseRights(settings.target, rights))
    }

    /** Sends the status immediately if a session is open. */
    suspend fun sendStatus() {
        connection?.send(status())
    }

    suspend fun run() {
        var index = 0
        while (true) {
            session(entryOrder[index % entryOrder.size])
            connection?.close()
            connection = null
            index++
            delay(backoff.nextDelayMs())
        }
    }

    private suspend fun session(address: Address) {
        lastReceivedMs = clock.nowMs()
        val opened =
            Connection.dial(selector, address, scope, metrics, onMessage = { _, message -> onMessage(message) }, onClosed = {})
                ?: return metrics.count(MetricName.RECONNECTIONS, "entry-unreachable")
        connection = opened
        opened.send(Message.Hello(settings.target.value, incarnation))
        entryStale = false
        var subscribedMs = -1L
        var statusMs = 0L
        var sentStatus: Message.AgentStatus? = null
        while (!opened.closed && clock.nowMs() - lastReceivedMs < SILENCE_TIMEOUT_MS) {
            val nowMs = clock.nowMs()
            val unconfirmed = !controller.state.confirmed
            if (subscribedMs < 0 || ((unconfirmed || entryStale) && nowMs - subscribedMs >= SUBSCRIBE_RETRY_MS)) {
                opened.send(Message.SubscribeTarget(settings.target, settings.host, needConfirmed = unconfirmed))
                subscribedMs = nowMs
            }
            if (nowMs - lastReceivedMs >= PING_IDLE_MS) opened.send(Message.Ping(nowMs))
            val status = status()
            if (status != sentStatus && (nowMs - statusMs >= STATUS_INTERVAL_MS || status.sequence != sentStatus?.sequence)) {
                opened.send(status)
                sentStatus = status
                statusMs = nowMs
            }
            delay(CHECK_INTERVAL_MS)
        }
        metrics.count(MetricName.RECONNECTIONS, if (opened.closed) "closed" else "silent")
    }

    private fun onMessage(message: Message) {
        lastReceivedMs = clock.nowMs()
        backoff.reset()
        when (message) {
            is Message.TargetStateUpdate -> receive(message)
            is Message.SequenceUpdate -> if (!entryStale) controller.submit(TargetEvent.SequenceReached(message.sequence))
            is Message.Pong -> controller.submit(TargetEvent.Contact)
            else -> Unit
        }
    }

    private fun receive(message: Message.TargetStateUpdate) {
        entryStale = message.revision < controller.state.revision
        controller.submit(TargetEvent.StateReceived(message.revision, message.sequence, message.offers, message.rights, message.confirmed))
    }

    private fun status(): Message.AgentStatus {
        val state = controller.state
        return Message.AgentStatus(
            target = settings.target,
            sequence = state.sequence,
            draining = state.draining,
            memoryMb = state.memoryMb,
            reservedMb = state.reservedMb,
            waiting = state.waiting.size,
            running = state.running.size,
            residents = state.residents.keys.toList(),
        )
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 500L
        const val PING_IDLE_MS = 1_500L
        const val SILENCE_TIMEOUT_MS = 3_500L
        const val STATUS_INTERVAL_MS = 1_000L
        const val SUBSCRIBE_RETRY_MS = 2_000L
    }
}
