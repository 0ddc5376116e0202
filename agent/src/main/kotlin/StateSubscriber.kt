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

/** Keeps a session to one entry host, takes the accepted state from it and tells it the target's status. */
internal class StateSubscriber(
    private val settings: AgentSettings,
    private val incarnation: String,
    private val controller: TargetController,
    private val selector: SelectorManager,
    private val clock: Clock,
    private val metrics: Metrics,
    private val scope: CoroutineScope,
) {
    private val order = Rendezvous.order(settings.target.value, settings.entries) { it.toString() }
    private val backoff = Backoff(initialMs = 200, maximumMs = 5_000, random = Random.Default)

    @Volatile
    private var connection: Connection? = null

    @Volatile
    private var lastHeardMs = 0L

    /** Whether the entry host's state is older than the one that this process has; it is asked again until it has caught up. */
    @Volatile
    private var behind = false

    /** Tells the entry host that [rights] are free; the controller repeats this until the state shows it. */
    suspend fun giveBack(rights: List<RightKey>) {
        connection?.send(Message.GiveBack(settings.target, rights))
    }

    /** Sends the status now, as far as a session is open. */
    suspend fun sendStatus() {
        connection?.send(status())
    }

    suspend fun run() {
        var index = 0
        while (true) {
            session(order[index % order.size])
            connection?.close()
            connection = null
            index++
            delay(backoff.nextDelayMs())
        }
    }

    private suspend fun session(address: Address) {
        lastHeardMs = clock.nowMs()
        val opened =
            Connection.dial(selector, address, scope, metrics, onMessage = { _, message -> onMessage(message) }, onClosed = {})
                ?: return metrics.count(MetricName.RECONNECTIONS, "entry-unreachable")
        connection = opened
        opened.send(Message.Hello(settings.target.value, incarnation))
        behind = false
        var askedMs = -1L
        var statusMs = 0L
        var sent: Message.AgentStatus? = null
        while (!opened.closed && clock.nowMs() - lastHeardMs < SILENCE_LIMIT_MS) {
            val nowMs = clock.nowMs()
            val unconfirmed = !controller.state.confirmed
            if (askedMs < 0 || ((unconfirmed || behind) && nowMs - askedMs >= SUBSCRIBE_REPEAT_MS)) {
                opened.send(Message.SubscribeTarget(settings.target, settings.host, needConfirmed = unconfirmed))
                askedMs = nowMs
            }
            if (nowMs - lastHeardMs >= PING_AFTER_MS) opened.send(Message.Ping(nowMs))
            val status = status()
            if (status != sent && (nowMs - statusMs >= STATUS_INTERVAL_MS || status.sequence != sent?.sequence)) {
                opened.send(status)
                sent = status
                statusMs = nowMs
            }
            delay(CHECK_INTERVAL_MS)
        }
        metrics.count(MetricName.RECONNECTIONS, if (opened.closed) "closed" else "silent")
    }

    private fun onMessage(message: Message) {
        lastHeardMs = clock.nowMs()
        backoff.reset()
        when (message) {
            is Message.TargetStateUpdate -> receive(message)
            is Message.SequenceUpdate -> if (!behind) controller.submit(TargetEvent.SequenceReached(message.sequence))
            is Message.Pong -> controller.submit(TargetEvent.Contact)
            else -> Unit
        }
    }

    private fun receive(message: Message.TargetStateUpdate) {
        behind = message.revision < controller.state.revision
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
        const val PING_AFTER_MS = 1_500L
        const val SILENCE_LIMIT_MS = 3_500L
        const val STATUS_INTERVAL_MS = 1_000L
        const val SUBSCRIBE_REPEAT_MS = 2_000L
    }
}
