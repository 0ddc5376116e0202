package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.almondjunction.common.TicketNumber

/** Outcome of a ticket, as reported to the operator. */
@Serializable
public sealed class TicketOutcome {
    /** The ticket is accepted at [sequence], now or by an earlier identical submission. */
    @Serializable
    public data class Accepted(
        val sequence: Long,
    ) : TicketOutcome()

    /** The ticket was not accepted and never will be, since [by] was accepted. */
    @Serializable
    public data class Superseded(
        val by: TicketNumber,
    ) : TicketOutcome()

    /** The number belongs to a ticket with another text; this text was not accepted. */
    @Serializable
    public data object NumberTaken : TicketOutcome()

    /** The ticket has faults; nothing of it was accepted. */
    @Serializable
    public data class Invalid(
        val faults: List<TicketFault>,
    ) : TicketOutcome()

    /** The outcome is not known yet; submitting the same ticket again is safe and returns it. */
    @Serializable
    public data object NotKnownYet : TicketOutcome()

    /** The list of recent tickets is full until a snapshot is written; the ticket was not accepted. */
    @Serializable
    public data object OrderFull : TicketOutcome()
}

/** Next step of a [TicketAcceptance]. */
public sealed class AcceptanceStep {
    /** Make [call] and hand its reply to [TicketAcceptance.next]. */
    public data class Call(
        val call: StoreCall,
    ) : AcceptanceStep()

    /** The submission ended with [outcome]. */
    public data class Done(
        val outcome: TicketOutcome,
    ) : AcceptanceStep()
}

/**
 * Accepts one ticket by a sequence of calls to the platform's object store.
 *
 * The ticket object is created first under its number and never changes. The ticket is accepted by the one conditional update of the
 * head that appends its number. Every lost reply is followed by a read before an outcome is reported to the operator. The submission may
 * be abandoned between any two calls and restarted by any process with the same result.
 *
 * @param maximumCalls calls after which the outcome is reported as not known yet
 */
public class TicketAcceptance(
    private val ticket: Ticket,
    private val maximumCalls: Int = 64,
) {
    private enum class Phase {
        READ_HEAD,
        CREATE_TICKET,
        COMPARE_TICKET,
        REPLACE_HEAD,
        LOOK_UP_TICKET,
        LOOK_UP_PAGE,
    }

    private val text = encode(ticket)
    private val ticketKey = StoreKeys.ticket(ticket.number)
    private var phase = Phase.READ_HEAD
    private var head = TicketHead()
    private var headVersion: Long? = null
    private var page = 0L
    private var calls = 0

    /** Returns the first step. */
    public fun start(): AcceptanceStep = ticket.faults().let { if (it.isEmpty()) readHead() else done(TicketOutcome.Invalid(it)) }

    /** Returns the step that follows [reply], which must be the reply to the last step's call. */
    public fun next(reply: StoreReply): AcceptanceStep {
        if (++calls >= maximumCalls) return done(TicketOutcome.NotKnownYet)
        return when (phase) {
            Phase.READ_HEAD -> afterReadHead(reply)
            Phase.CREATE_TICKET -> afterCreate(reply)
            Phase.COMPARE_TICKET -> afterCompare(reply)
            Phase.REPLACE_HEAD -> afterReplace(reply)
            Phase.LOOK_UP_TICKET -> afterLookUp(reply)
            Phase.LOOK_UP_PAGE -> afterPage(reply)
        }
    }

    private fun afterReadHead(reply: StoreReply): AcceptanceStep {
        when (reply) {
            is StoreReply.Found -> {
                head = Json.decodeFromString(reply.value)
                headVersion = reply.version
            }
            StoreReply.Absent -> {
                head = TicketHead()
                headVersion = null
            }
            is StoreReply.Written, StoreReply.Conflict, StoreReply.Lost -> return readHead()
        }
        return when {
            ticket.number <= head.lastNumber -> call(Phase.LOOK_UP_TICKET, StoreCall.Read(ticketKey))
            head.recent.size >= TicketHead.RECENT_LIMIT -> done(TicketOutcome.OrderFull)
            else -> call(Phase.CREATE_TICKET, StoreCall.Create(ticketKey, text))
        }
    }

    private fun afterCreate(reply: StoreReply): AcceptanceStep =
        when (reply) {
            is StoreReply.Written -> replaceHead()
            StoreReply.Conflict, StoreReply.Lost, StoreReply.Absent, is StoreReply.Found ->
                call(
                    Phase.COMPARE_TICKET,
                    StoreCall.Read(ticketKey),
                )
        }

    private fun afterCompare(reply: StoreReply): AcceptanceStep =
        when (reply) {
            is StoreReply.Found -> if (reply.value == text) replaceHead() else done(TicketOutcome.NumberTaken)
            StoreReply.Absent -> readHead()
            is StoreReply.Written, StoreReply.Conflict, StoreReply.Lost -> call(Phase.COMPARE_TICKET, StoreCall.Read(ticketKey))
        }

    private fun replaceHead(): AcceptanceStep {
        val value = Json.encodeToString(TicketHead.serializer(), head.accept(ticket.number))
        val version = headVersion
        return call(
            Phase.REPLACE_HEAD,
            if (version ==
                null
            ) {
                StoreCall.Create(StoreKeys.HEAD, value)
            } else {
                StoreCall.Replace(StoreKeys.HEAD, value, version)
            },
        )
    }

    private fun afterReplace(reply: StoreReply): AcceptanceStep =
        when (reply) {
            is StoreReply.Written -> done(TicketOutcome.Accepted(head.sequence + 1))
            StoreReply.Conflict, StoreReply.Lost, StoreReply.Absent, is StoreReply.Found -> readHead()
        }

    private fun afterLookUp(reply: StoreReply): AcceptanceStep =
        when (reply) {
            is StoreReply.Found -> if (reply.value == text) lookUpSequence() else done(TicketOutcome.NumberTaken)
            StoreReply.Absent -> done(TicketOutcome.Superseded(head.lastNumber))
            is StoreReply.Written, StoreReply.Conflict, StoreReply.Lost -> call(Phase.LOOK_UP_TICKET, StoreCall.Read(ticketKey))
        }

    private fun lookUpSequence(): AcceptanceStep {
        head.sequenceOf(ticket.number)?.let { return done(TicketOutcome.Accepted(it)) }
        val oldestRecent = head.recent.firstOrNull()
        if (head.firstRecentSequence <= 1 || (oldestRecent != null && ticket.number > oldestRecent)) return superseded()
        page = LogPage.indexOf(head.firstRecentSequence - 1)
        return readPage()
    }

    private fun readPage() = call(Phase.LOOK_UP_PAGE, StoreCall.Read(StoreKeys.logPage(page)))

    private fun afterPage(reply: StoreReply): AcceptanceStep {
        if (reply !is StoreReply.Found) return readPage()
        val numbers = Json.decodeFromString<LogPage>(reply.value).numbers
        val index = numbers.indexOf(ticket.number)
        return when {
            index >= 0 -> done(TicketOutcome.Accepted(LogPage.firstSequenceOf(page) + index))
            page == 0L || ticket.number > numbers.first() -> superseded()
            else -> {
                page--
                readPage()
            }
        }
    }

    private fun superseded() = done(TicketOutcome.Superseded(head.lastNumber))

    private fun readHead() = call(Phase.READ_HEAD, StoreCall.Read(StoreKeys.HEAD))

    private fun call(
        next: Phase,
        call: StoreCall,
    ): AcceptanceStep {
        phase = next
        return AcceptanceStep.Call(call)
    }

    private fun done(outcome: TicketOutcome) = AcceptanceStep.Done(outcome)

    public companion object {
        /** Returns the text under which [ticket] is kept; equal tickets have equal texts. */
        public fun encode(ticket: Ticket): String = Json.encodeToString(Ticket.serializer(), ticket)
    }
}
