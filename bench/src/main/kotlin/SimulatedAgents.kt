package org.almondjunction.bench

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.almondjunction.common.Address
import org.almondjunction.common.HostId
import org.almondjunction.common.Metrics
import org.almondjunction.common.SystemClock
import org.almondjunction.common.TargetId
import org.almondjunction.protocol.Connection
import org.almondjunction.protocol.Message
import java.util.concurrent.ConcurrentHashMap

/** Clients that subscribe to entry hosts as agents do and record when each ticket reaches them, without engines behind them. */
internal class SimulatedAgents(
    private val count: Int,
    private val entries: List<Address>,
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
) {
    private val metrics = Metrics()
    private val sequences = LongArray(count)

    /** By sequence, the times in milliseconds at which agents reached it; one time for each agent. */
    val arrivalTimesMs: ConcurrentHashMap<Long, MutableList<Long>> = ConcurrentHashMap()

    fun start() = repeat(count) { index -> scope.launch { run(index) } }

    private suspend fun run(index: Int) {
        val target = TargetId("engine-$index")
        while (true) {
            val connection =
                Connection.dial(
                    selector,
                    entries[index % entries.size],
                    scope,
                    metrics,
                    onMessage = { _, message -> recordArrivals(index, message) },
                    onClosed = {},
                )
            if (connection != null) serve(connection, target)
            delay(RETRY_MS)
        }
    }

    private suspend fun serve(
        connection: Connection,
        target: TargetId,
    ) {
        connection.send(Message.Hello(target.value, incarnation = "bench"))
        connection.send(Message.SubscribeTarget(target, HostId("host-$target"), needConfirmed = true))
        while (!connection.closed) {
            connection.send(Message.Ping(SystemClock.nowMs()))
            delay(PING_MS)
        }
    }

    private fun recordArrivals(
        index: Int,
        message: Message,
    ) {
        val sequence =
            when (message) {
                is Message.TargetStateUpdate -> message.sequence
                is Message.SequenceUpdate -> message.sequence
                else -> return
            }
        val nowMs = SystemClock.nowMs()
        for (reachedSequence in sequences[index] + 1..sequence) {
            val times = arrivalTimesMs.computeIfAbsent(reachedSequence) { mutableListOf() }
            synchronized(times) { times += nowMs }
        }
        sequences[index] = maxOf(sequences[index], sequence)
    }

    private companion object {
        const val PING_MS = 2_000L
        const val RETRY_MS = 300L
    }
}
