package org.almondjunction.decisions

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.almondjunction.common.ModelId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TicketNumber
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class TicketAcceptanceTest {
    private fun ticket(
        number: Long,
        replicas: Int,
        model: String = "m",
    ) = Ticket(TicketNumber(number), listOf(ModelOffer(ModelId(model), ServiceId("s"), "v$replicas", memoryMb = 10, replicas = replicas)))

    private fun head(store: FakeStore): TicketHead =
        (store.call(StoreCall.Read(StoreKeys.HEAD)) as? StoreReply.Found)?.let { Json.decodeFromString<TicketHead>(it.value) }
            ?: TicketHead()

    private fun run(
        ticket: Ticket,
        store: FakeStore,
    ): TicketOutcome {
        val acceptance = TicketAcceptance(ticket)
        var step = acceptance.start()
        while (step is AcceptanceStep.Call) step = acceptance.next(store.call(step.call))
        return (step as AcceptanceStep.Done).outcome
    }

    @Test
    fun `each submission gets its outcome`() {
        val cases =
            listOf(
                listOf(ticket(1, 1)) to TicketOutcome.Accepted(1),
                listOf(ticket(1, 1), ticket(1, 1)) to TicketOutcome.Accepted(1),
                listOf(ticket(1, 1), ticket(1, 2)) to TicketOutcome.NumberTaken,
                listOf(ticket(5, 1), ticket(4, 1)) to TicketOutcome.Superseded(TicketNumber(5)),
                listOf(ticket(5, 1), ticket(9, 1), ticket(5, 1)) to TicketOutcome.Accepted(1),
                listOf(ticket(1, 1), ticket(2, 1), ticket(7, 3)) to TicketOutcome.Accepted(3),
            )
        cases.forEach { (tickets, expected) ->
            val store = FakeStore()
            assertEquals(expected, tickets.map { run(it, store) }.last(), tickets.toString())
        }
    }

    @Test
    fun `a faulty ticket is refused as a whole`() {
        val offer = ticket(1, 1).models.single()
        val cases =
            listOf(
                Ticket(TicketNumber(0), listOf(offer)) to "number",
                Ticket(TicketNumber(1)) to "models",
                Ticket(TicketNumber(1), listOf(offer, offer)) to "models",
                Ticket(TicketNumber(1), listOf(offer.copy(replicas = -1))) to "models[0].replicas",
                Ticket(TicketNumber(1), listOf(offer.copy(priority = 10))) to "models[0].priority",
                Ticket(TicketNumber(1), listOf(offer), withdrawn = listOf(offer.model)) to "withdrawn",
            )
        cases.forEach { (ticket, key) ->
            val store = FakeStore()
            val outcome = assertIs<TicketOutcome.Invalid>(run(ticket, store))
            assertEquals(listOf(key), outcome.faults.map { it.key })
            assertTrue(store.objects.isEmpty())
        }
    }

    @Test
    fun `an accepted ticket is recognized after its number was trimmed from the head`() {
        val store = FakeStore()
        val numbers = (1L..200L).map { it * 2 }
        numbers.forEach { assertIs<TicketOutcome.Accepted>(run(ticket(it, 1), store)) }
        trim(store)
        assertTrue(head(store).recent.size < 200)
        assertEquals(TicketOutcome.Accepted(1), run(ticket(2, 1), store))
        assertEquals(TicketOutcome.Accepted(70), run(ticket(140, 1), store))
        assertEquals(TicketOutcome.Superseded(TicketNumber(400)), run(ticket(141, 1), store))
        assertEquals(TicketOutcome.NumberTaken, run(ticket(140, 2), store))
    }

    private fun trim(store: FakeStore) {
        val found = store.call(StoreCall.Read(StoreKeys.HEAD)) as StoreReply.Found
        val head = Json.decodeFromString<TicketHead>(found.value)
        val pages = (head.sequence / LogPage.SIZE).toInt()
        val numbers = head.recent
        repeat(pages) { page ->
            val part = LogPage(numbers.subList(page * LogPage.SIZE.toInt(), (page + 1) * LogPage.SIZE.toInt()))
            store.call(StoreCall.Create(StoreKeys.logPage(page.toLong()), Json.encodeToString(LogPage.serializer(), part)))
        }
        val trimmed = head.trim(pages * LogPage.SIZE)
        store.call(StoreCall.Replace(StoreKeys.HEAD, Json.encodeToString(TicketHead.serializer(), trimmed), found.version))
    }

    /** The submission of one operator in progress; a crash restarts it. */
    private class Operator(
        val ticket: Ticket,
    ) {
        var acceptance = TicketAcceptance(ticket)
        var step = acceptance.start()
        val outcomes = mutableListOf<TicketOutcome>()

        fun restart() {
            acceptance = TicketAcceptance(ticket)
            step = acceptance.start()
        }
    }

    @Test
    fun `concurrent operators, lost replies and crashes result in one order and correct outcomes`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 4_101, iterations = 1_500), Arb.long()) { seed ->
                val random = Random(seed)
                val store = FakeStore(random, lossPercent = random.nextInt(0, 30))
                val operators =
                    List(random.nextInt(2, 11)) { Operator(ticket(random.nextLong(1, 8), random.nextInt(1, 4), "m${random.nextInt(3)}")) }
                var lastSequence = 0L
                while (operators.any { it.step is AcceptanceStep.Call || it.outcomes.isEmpty() }) {
                    advance(operators.random(random), store, random)
                    val sequence =
                        (
                            store.objects[StoreKeys.HEAD]?.let {
                                Json.decodeFromString<TicketHead>(
                                    it.value,
                                )
                            } ?: TicketHead()
                        ).sequence
                    assertTrue(sequence in lastSequence..lastSequence + 1, "The sequence went from $lastSequence to $sequence.")
                    lastSequence = sequence
                }
                verify(operators, store)
            }
        }

    private fun advance(
        operator: Operator,
        store: FakeStore,
        random: Random,
    ) {
        when (val step = operator.step) {
            is AcceptanceStep.Call ->
                if (random.nextInt(100) < 5) operator.restart() else operator.step = operator.acceptance.next(store.call(step.call))
            is AcceptanceStep.Done -> {
                operator.outcomes += step.outcome
                if (!step.outcome.isFinal()) operator.restart()
            }
        }
    }

    private fun TicketOutcome?.isFinal() = this != null && this != TicketOutcome.NotKnownYet

    private fun verify(
        operators: List<Operator>,
        store: FakeStore,
    ) {
        val head = Json.decodeFromString<TicketHead>(store.objects.getValue(StoreKeys.HEAD).value)
        val accepted = head.recent.map { Json.decodeFromString<Ticket>(store.objects.getValue(StoreKeys.ticket(it)).value) }
        assertEquals(head.recent.sorted().distinct(), head.recent)
        operators.forEach { operator ->
            val finals = operator.outcomes.filter { it.isFinal() }.distinct()
            when (val outcome = finals.first()) {
                is TicketOutcome.Accepted -> assertEquals(operator.ticket, accepted[(outcome.sequence - 1).toInt()])
                is TicketOutcome.Superseded -> assertTrue(operator.ticket !in accepted)
                TicketOutcome.NumberTaken -> assertTrue(operator.ticket !in accepted)
                is TicketOutcome.Invalid, TicketOutcome.NotKnownYet, TicketOutcome.OrderFull -> error("Unexpected $outcome")
            }
        }
        val applied = accepted.fold(Catalogue()) { catalogue, ticket -> catalogue.apply(ticket) }
        assertEquals(accepted.flatMap { it.models }.associateBy { it.model }, applied.offers)
    }
}
