package org.almondjunction.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.keeper.Demand
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.keeper.MessageChannel
import org.almondjunction.keeper.SentStream
import org.almondjunction.network.EventLoop
import org.almondjunction.network.TcpConnection
import org.almondjunction.network.launchRestarting

/** Connection to the keeper of [target]; reconnects when it is closed or silent. */
internal class KeeperLink(
    private val loop: EventLoop,
    scope: CoroutineScope,
    private val gateway: String,
    private val address: Address,
    private val target: Target,
    private val state: GatewayState,
    private val onQuotaReply: (KeeperMessage.QuotaReply) -> Unit,
    private val onResumedStreams: (List<SentStream>) -> Unit,
    private val demand: () -> List<Demand>,
) : AutoCloseable {
    private var channel: MessageChannel? = null
    private var lastMessageMs = 0L

    /** Whether the keeper has reported its state at least once. */
    var heard = false
        private set

    /** Number of requests broken off by the engine that were reported on the current connection. */
    private var reports = 0
    val connected: Boolean get() = channel?.closed == false
    private val job: Job = scope.launchRestarting("keeper link") { run() }

    /** Sends [message] if the keeper is connected; returns whether it was written to the connection. */
    suspend fun send(message: KeeperMessage): Boolean = channel?.send(message) ?: false

    /** Counts a report that is sent next; returns its number on the current connection. */
    fun countReport(): Int = ++reports

    private suspend fun run() {
        while (true) {
            val connection = TcpConnection.connect(loop, address, CONNECT_TIMEOUT_MS)
            if (connection != null) {
                serve(connection)
                target.update(null)
                state.changed.raise()
            }
            delay(RECONNECT_MS)
        }
    }

    private suspend fun serve(connection: TcpConnection) {
        val opened = MessageChannel(connection)
        channel = opened
        reports = 0
        lastMessageMs = loop.clock.nowMs()
        try {
            coroutineScope {
                val reporting = launch { sendReports(opened) }
                if (sendKnownCrashes(opened) && opened.send(KeeperMessage.Greeting(gateway))) receiveMessages(opened)
                reporting.cancelAndJoin()
            }
        } finally {
            channel = null
            opened.close()
        }
        EventLog.info("keeper disconnected", LogFields(target = target.entry.target))
    }

    /** Sent before the greeting, since a keeper that has restarted would otherwise answer it with an empty log. */
    private suspend fun sendKnownCrashes(opened: MessageChannel): Boolean {
        val crashes = state.crashes.crashesOf(address.ip)
        return crashes.isEmpty() || opened.send(KeeperMessage.Usage(emptyList(), crashes = crashes))
    }

    private suspend fun receive(
        opened: MessageChannel,
        status: KeeperMessage.Status,
    ) {
        if (target.status == null) EventLog.info("keeper connected", LogFields(target = target.entry.target))
        heard = true
        target.update(status)
        val innocent = status.crashes?.let { state.crashes.receive(address.ip, it) }.orEmpty()
        if (innocent.isNotEmpty()) opened.send(KeeperMessage.Usage(emptyList(), answered = innocent))
        state.changed.raise()
    }

    private suspend fun receiveMessages(opened: MessageChannel) {
        while (true) {
            val message = opened.receive() ?: return
            lastMessageMs = loop.clock.nowMs()
            when (message) {
                is KeeperMessage.Status -> receive(opened, message)
                is KeeperMessage.EngineLoad -> {
                    target.update(message)
                    if (message.resumedStreams.isNotEmpty()) onResumedStreams(message.resumedStreams)
                }
                is KeeperMessage.QuotaReply -> onQuotaReply(message)
                is KeeperMessage.Greeting, is KeeperMessage.Usage, is KeeperMessage.LoadRequest, is KeeperMessage.QuotaRequest -> return
            }
        }
    }

    private suspend fun sendReports(opened: MessageChannel) {
        var idleRounds = 0
        while (loop.clock.nowMs() - lastMessageMs < SILENCE_TIMEOUT_MS) {
            delay(USAGE_INTERVAL_MS)
            val uses = target.takeUses()
            idleRounds = if (uses.isEmpty()) idleRounds + 1 else 0
            if (idleRounds % ROUNDS_PER_HEARTBEAT != 0) continue
            if (!opened.send(KeeperMessage.Usage(uses, demand()))) return
        }
        EventLog.warn("keeper silent; closing the connection", LogFields(target = target.entry.target))
        opened.close()
    }

    override fun close(): Unit = job.cancel()

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val RECONNECT_MS = 500L

        /** Interval between usage reports; well below the shortest idle time after which a model may be unloaded. */
        const val USAGE_INTERVAL_MS = 500L

        /** A gateway without uses sends an empty report every third interval as a heartbeat. */
        const val ROUNDS_PER_HEARTBEAT = 3

        /** A keeper answers usage reports with its status at least every 2 s. */
        const val SILENCE_TIMEOUT_MS = 5_000L
    }
}
