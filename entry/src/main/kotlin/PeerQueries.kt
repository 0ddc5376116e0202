package org.almondjunction.entry

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Address
import org.almondjunction.common.HostId
import org.almondjunction.common.Metrics
import org.almondjunction.protocol.Connection
import org.almondjunction.protocol.Message

/** Asks every entry host, this one too, one question over a connection of its own. */
internal class PeerQueries(
    private val settings: EntrySettings,
    private val holder: StateHolder,
    private val selector: SelectorManager,
    private val metrics: Metrics,
    private val scope: CoroutineScope,
) {
    /** Returns what every member heard of [hosts]; null when any of them did not answer. */
    suspend fun lastHeard(hosts: List<HostId>): List<Message.LastHeardReply>? {
        val view = holder.view
        val members = view.members.hosts.filterKeys { it !in view.catalogue.retiredHosts }
        if (settings.host !in members) return null
        val replies = askAll(members.values, Message.LastHeardQuery(hosts)) { it as? Message.LastHeardReply }
        return replies.filterNotNull().takeIf { it.size == members.size }
    }

    /** Returns the status of every entry host that answers, by address; null for one that does not. */
    suspend fun statuses(): Map<Address, Message.StatusReply?> =
        addresses().let { addresses -> addresses.zip(askAll(addresses, Message.StatusQuery) { it as? Message.StatusReply }).toMap() }

    private fun addresses(): List<Address> =
        (
            holder.view.fleet.hosts
                .mapNotNull { it.entry } + settings.peers + settings.internal
        ).distinct().sortedBy { it.toString() }

    private suspend fun <T> askAll(
        addresses: Collection<Address>,
        question: Message,
        read: (Message) -> T?,
    ): List<T?> = coroutineScope { addresses.map { address -> async { ask(address, question, read) } }.awaitAll() }

    private suspend fun <T> ask(
        address: Address,
        question: Message,
        read: (Message) -> T?,
    ): T? {
        val answer = CompletableDeferred<T>()
        val connection =
            Connection.dial(
                selector,
                address,
                scope,
                metrics,
                onMessage = { _, message -> read(message)?.let { answer.complete(it) } },
                onClosed = {},
                timeoutMs = ANSWER_TIMEOUT_MS,
            ) ?: return null
        connection.send(Message.Hello(settings.host.value, incarnation = ""))
        connection.send(question)
        return withTimeoutOrNull(ANSWER_TIMEOUT_MS) { answer.await() }.also { connection.close() }
    }

    private companion object {
        const val ANSWER_TIMEOUT_MS = 1_500L
    }
}
