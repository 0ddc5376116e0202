package org.almondjunction.decisions

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.Address
import org.almondjunction.common.HostId
import org.almondjunction.common.Location
import org.almondjunction.common.ModelId
import org.almondjunction.common.RegionId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.common.TicketNumber
import org.almondjunction.common.ZoneId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PlacementTest {
    private val service = ServiceId("s")

    private fun fleet(
        zones: List<String>,
        leaving: Set<Int> = emptySet(),
        missing: Set<Int> = emptySet(),
    ) = Fleet(
        zones.mapIndexedNotNull { index, zone ->
            val record = TargetRecord(TargetId("t$index"), service, TargetKind.ENGINE, Address("127.0.0.1", 1), memoryMb = 100)
            val status = if (index in leaving) HostStatus.LEAVING else HostStatus.LIVE
            HostRecord(HostId("h$index"), Location(RegionId("r"), ZoneId(zone)), status, listOf(record)).takeUnless { index in missing }
        },
    )

    private fun catalogue(
        replicas: Int,
        retired: List<HostId> = emptyList(),
    ) = Catalogue().apply(Ticket(TicketNumber(1), listOf(ModelOffer(ModelId("m"), service, "1", 50, replicas)), retiredHosts = retired))

    private fun plan(
        catalogue: Catalogue,
        fleet: Fleet,
        before: Map<Int, RightsShard> = emptyMap(),
        lost: Map<TargetId, HostId> = emptyMap(),
        provenEmpty: Set<HostId> = emptySet(),
    ): Map<Int, RightsShard> = before + Placement.plan(PlacementInput(catalogue, fleet, before, lost, provenEmpty))

    private fun Map<Int, RightsShard>.rights() = values.flatMap { it.rights }

    @Test
    fun `a right is taken from its target only with proof that the host holds nothing`() {
        val zones = listOf("a", "b")
        val first = plan(catalogue(replicas = 1), fleet(zones))
        val holder = first.rights().single().target
        val index = holder.value.removePrefix("t").toInt()
        val host = HostId("h$index")
        val lost = mapOf(holder to host)
        val cases =
            listOf(
                Triple("leaving", plan(catalogue(1), fleet(zones, leaving = setOf(index)), first), listOf(holder)),
                Triple("no longer listed", plan(catalogue(1), fleet(zones, missing = setOf(index)), first, lost), listOf(holder)),
                Triple(
                    "proven empty",
                    plan(catalogue(1), fleet(zones, missing = setOf(index)), first, lost, setOf(host)),
                    listOf(TargetId("t${1 - index}")),
                ),
                Triple(
                    "retired",
                    plan(catalogue(1, listOf(host)), fleet(zones, missing = setOf(index)), first, lost),
                    listOf(TargetId("t${1 - index}")),
                ),
            )
        cases.forEach { (name, after, expected) -> assertEquals(expected, after.rights().map { it.target }, name) }
        assertTrue(
            cases
                .first()
                .second
                .rights()
                .single()
                .recalled,
        )
    }

    @Test
    fun `replicas are spread over zones and plans are stable`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 4_301, iterations = 300), Arb.int()) { seed ->
                val random = Random(seed)
                val zones = List(random.nextInt(3, 12)) { "z${random.nextInt(3)}" }
                val replicas = random.nextInt(1, zones.size + 2)
                val shards = plan(catalogue(replicas), fleet(zones))
                val targets =
                    shards.rights().map {
                        it.target.value
                            .removePrefix("t")
                            .toInt()
                    }
                assertEquals(minOf(replicas, zones.size), targets.distinct().size)
                assertEquals(targets.size, targets.distinct().size)
                assertEquals(minOf(replicas, zones.distinct().size), targets.map { zones[it] }.distinct().size)
                assertEquals(shards, plan(catalogue(replicas), fleet(zones.toList()), shards))
            }
        }
}
