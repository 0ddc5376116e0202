package org.almondjunction.entry

import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.almondjunction.common.HostId
import org.almondjunction.common.TargetId
import org.almondjunction.common.TicketNumber
import org.almondjunction.decisions.AcceptanceStep
import org.almondjunction.decisions.Backoff
import org.almondjunction.decisions.StoreCall
import org.almondjunction.decisions.StoreKeys
import org.almondjunction.decisions.StoreReply
import org.almondjunction.decisions.Ticket
import org.almondjunction.decisions.TicketAcceptance
import org.almondjunction.decisions.TicketOutcome
import org.almondjunction.objectstore.ObjectStore
import kotlin.random.Random

/** Accepts tickets and reports where they are in force. */
internal class TicketService(
    private val store: ObjectStore,
    private val peers: PeerQueries,
) {
    /** Submits [ticket]; safe to repeat with the same ticket. */
    suspend fun submit(ticket: Ticket): TicketOutcome {
        val acceptance = TicketAcceptance(ticket, MAXIMUM_CALLS)
        val backoff = Backoff(initialMs = 20, maximumMs = 500, random = Random.Default)
        var step = acceptance.start()
        while (true) {
            when (val current = step) {
                is AcceptanceStep.Done -> return current.outcome
                is AcceptanceStep.Call -> {
                    val reply = store.call(current.call)
                    if (reply == StoreReply.Lost || reply == StoreReply.Conflict) delay(backoff.nextDelayMs())
                    step = acceptance.next(reply)
                }
            }
        }
    }

    /** Returns the status of the ticket with [number]. */
    suspend fun show(number: TicketNumber): TicketStatus {
        val found =
            when (val reply = store.call(StoreCall.Read(StoreKeys.ticket(number)))) {
                is StoreReply.Found -> Json.decodeFromString<Ticket>(reply.value)
                StoreReply.Absent -> return TicketStatus(number, outcome = null, detail = "No ticket has this number.")
                is StoreReply.Written, StoreReply.Conflict, StoreReply.Lost ->
                    return TicketStatus(number, outcome = null, detail = "The platform's service does not answer; ask again.")
            }
        val outcome = lookUp(found)
        val accepted = outcome as? TicketOutcome.Accepted ?: return TicketStatus(number, outcome)
        val statuses = peers.statuses()
        val hosts =
            statuses.map { (address, status) ->
                HostInForce(
                    status?.host,
                    address.toString(),
                    status?.let {
                        it.sequence >=
                            accepted.sequence
                    },
                )
            }
        val targets =
            statuses.values
                .filterNotNull()
                .flatMap { it.agents }
                .associate { it.target to (it.sequence >= accepted.sequence) }
        return TicketStatus(number, outcome, hosts = hosts, targets = targets)
    }

    /** Looks up the outcome of a ticket without submitting it: a ticket that was never accepted stays so. */
    private suspend fun lookUp(ticket: Ticket): TicketOutcome {
        val acceptance = TicketAcceptance(ticket, MAXIMUM_CALLS)
        var step = acceptance.start()
        while (true) {
            step =
                when (val current = step) {
                    is AcceptanceStep.Done -> return current.outcome
                    is AcceptanceStep.Call ->
                        if (current.call is StoreCall.Read) {
                            acceptance.next(
                                store.call(current.call),
                            )
                        } else {
                            return TicketOutcome.NotKnownYet
                        }
                }
        }
    }

    private companion object {
        const val MAXIMUM_CALLS = 40
    }
}

/** Status of a ticket as shown to operators. */
@Serializable
internal data class TicketStatus(
    val number: TicketNumber,
    val outcome: TicketOutcome?,
    val detail: String? = null,
    val hosts: List<HostInForce> = emptyList(),
    val targets: Map<TargetId, Boolean> = emptyMap(),
)

/** Whether a ticket is in force at one entry host; null when it did not answer. */
@Serializable
internal data class HostInForce(
    val host: HostId?,
    val address: String,
    val inForce: Boolean?,
)
