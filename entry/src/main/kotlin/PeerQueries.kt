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

/** Sends a query to every entry host, including this one, each over its own connection. */
internal class PeerQueries(
    private val settings: EntrySettings,
    private val holder: StateHolder,
    private val selector: SelectorManager,
    private val metrics: Metrics,
    private val scope: CoroutineScope,
) {
    /** Returns every member's reply on its last contact with [hosts]; null when any member did not answer. */
    suspend fun lastContacts(hosts: List<HostId>): List<Message.LastContactReply>? {
        val view = holder.view
        val members = view.members.hosts.filterKeys { it !in view.catalogue.retiredHosts }
        if (settings.host !in members) return null
        val replies = queryAll(members.values, Message.LastContactQuery(hosts)) { it as? Message.LastContactReply }
        return replies.filterNotNull().takeIf { it.size == members.size }
    }

    /** Returns the status of every entry host that answers, by address; null for one that does not. */
    suspend fun statuses(): Map<Address, Message.StatusReply?> =
        addresses().let { addresses -> addresses.zip(queryAll(addresses, Message.StatusQuery) { it as? Message.StatusReply }).toMap() }

    private fun addresses(): List<Address> =
        (
            holder.view.fleet.hosts
                .mapNotNull { it.entry } + settings.peers + settings.internal
        ).distinct().sortedBy { it.toString() }

    private suspend fun <T> queryAll(
        addresses: Collection<Address>,
        message: Message,
        read: (Message) -> T?,
    ): List<T?> = coroutineScope { addresses.map { address -> async { query(address, message, read) } }.awaitAll() }

    private suspend fun <T> query(
        address: Address,
        message: Message,
        read: (Message) -> T?,
    ): T? {
        val answer = CompletableDeferred<T>()
        val connection =
            Connection.dial(
                selector,
                address,
                scope,
                metrics,
                onMessage = { _, reply -> read(reply)?.let { answer.complete(it) } },
                onClosed = {},
                timeoutMs = ANSWER_TIMEOUT_MS,
            ) ?: return null
        connection.send(Message.Hello(settings.host.value, incarnation = ""))
        connection.send(message)
        return withTimeoutOrNull(ANSWER_TIMEOUT_MS) { answer.await() }.also { connection.close() }
    }

    private companion object {
        const val ANSWER_TIMEOUT_MS = 1_500L
    }
}
