package org.almondjunction.decisions

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.almondjunction.common.Address
import org.almondjunction.common.HostId
import org.almondjunction.common.ModelId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TicketNumber
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class ClusterViewTest {
    private val members = Members(mapOf(HostId("entry-1") to Address("127.0.0.1", 7101)))
    private val text = Json.encodeToString(Members.serializer(), members)

    @Test
    fun `the first write after an empty listing is not skipped`() {
        val empty = ClusterView().apply(StateChange(revision = 0))
        assertEquals(true to 0L, empty.ready to empty.revision)
        assertEquals(false, ClusterView().apply(StateChange(revision = NO_REVISION, fleet = Fleet(), fleetVersion = 1)).ready)
    }

    // Guards against an entry host whose state is never updated again because of one object of another writer.
    @Test
    fun `objects that cannot be decoded or are not ours are ignored`() {
        val shard = Json.encodeToString(RightsShard(nextEpoch = 7))
        val sound = listOf(StoredObject(StoreKeys.MEMBERS, 5, text), StoredObject(StoreKeys.rights(3), 5, shard))
        val view = ClusterView().apply(StateChange(revision = 5, objects = sound))
        val odd =
            listOf(StoreKeys.HEAD, StoreKeys.MEMBERS, StoreKeys.rights(3), StoreKeys.rights(4)).flatMap { key ->
                listOf("", "7", "[]", "{", "{\"rights\":7,\"hosts\":7,\"recent\":7}").map { StoredObject(key, 6, it) }
            } + listOf("-1", "256", "+3", "03", "3/4", "x").map { StoredObject("state/rights/$it", 6, shard) }
        for (entry in odd) {
            val change = StateChange(revision = 6, objects = listOf(entry, StoredObject(StoreKeys.rights(9), 6, shard)))
            assertEquals(view.apply(change.copy(objects = change.objects.drop(1))), view.apply(change), "$entry")
        }
    }

    @Test
    fun `a view never returns to an older state and a relayed change contains everything that the receiver lacks`() {
        val new = ClusterView().apply(StateChange(revision = 5, objects = listOf(StoredObject(StoreKeys.MEMBERS, 5, text))))
        val old = StateChange(revision = 3, objects = listOf(StoredObject(StoreKeys.MEMBERS, 3, """{"hosts":{}}""")))
        assertEquals(new, new.apply(old))
        val behind = ClusterView().apply(old)
        assertEquals(new, behind.apply(new.changeSince(behind)))
        assertEquals(emptyList(), new.changeSince(new).objects)
        assertEquals(new, ClusterView().apply(new.toChange()))
    }

    @Test
    fun `a relayed catalogue change is applied completely or not at all`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 4_401, iterations = 500), Arb.int()) { seed ->
                val random = Random(seed)
                val states = (1L..8L).runningFold(Catalogue()) { catalogue, number -> catalogue.apply(ticket(number, random)) }
                val (from, to) = List(2) { random.nextInt(states.size) }.sorted()
                val change = CatalogueChange.between(states[from], states[to])
                states.forEachIndexed { index, state ->
                    val fits = index < to && (index == from || from == 0)
                    val expected = if (fits) states[to] else state
                    if (from < to) assertEquals(index < to && !fits, change?.leavesGap(state))
                    assertEquals(expected, change?.applyTo(state) ?: state)
                }
            }
        }

    private fun ticket(
        number: Long,
        random: Random,
    ): Ticket {
        val (offered, withdrawn) = List(4) { ModelId("m$it") }.filter { random.nextBoolean() }.partition { random.nextInt(3) > 0 }
        val offers = offered.map { ModelOffer(it, ServiceId("s"), "v${random.nextInt(3)}", memoryMb = 1) }
        return Ticket(TicketNumber(number), offers, withdrawn, retiredHosts = listOf(HostId("h${random.nextInt(3)}")))
    }
}
