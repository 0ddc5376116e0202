package org.almondjunction.decisions

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.Location
import org.almondjunction.common.RegionId
import org.almondjunction.common.TargetId
import org.almondjunction.common.ZoneId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RoutingTest {
    private val origin = Location(RegionId("dalmacija"), ZoneId("split-a"))

    private fun candidate(
        name: String,
        region: String = "dalmacija",
        zone: String = "split-a",
        rank: Int = 0,
        warm: Boolean = false,
        outstanding: Int = 0,
        suspect: Boolean = false,
    ) = Candidate(TargetId(name), Location(RegionId(region), ZoneId(zone)), rank, warm, outstanding, suspect)

    @Test
    fun `targets are ordered by state, distance and rank`() {
        val far = candidate("far", region = "slavonija", zone = "osijek-a")
        val cases =
            listOf(
                Triple("cold targets by rank", listOf(candidate("b", rank = 1), candidate("a", rank = 0)), listOf("a", "b")),
                Triple("warm before cold", listOf(candidate("cold"), candidate("warm", rank = 1, warm = true)), listOf("warm", "cold")),
                Triple("near cold before far warm", listOf(far.copy(warm = true), candidate("near")), listOf("near", "far")),
                Triple(
                    "same zone first among warm",
                    listOf(candidate("region", zone = "split-b", warm = true), candidate("zone", warm = true)),
                    listOf("zone", "region"),
                ),
                Triple("suspect targets last", listOf(candidate("a", suspect = true), far), listOf("far", "a")),
            )
        cases.forEach { (name, candidates, expected) ->
            assertEquals(expected, Router.order(candidates, origin, "prefix", crossRegionAllowed = true).map { it.target.value }, name)
        }
        assertEquals(emptyList(), Router.order(listOf(far), origin, "prefix", crossRegionAllowed = false))
    }

    @Test
    fun `entry hosts of one region agree on the target of a cold model`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 5_201, iterations = 500), Arb.int()) { seed ->
                val random = Random(seed)
                val candidates = List(random.nextInt(1, 8)) { candidate("t$it", zone = "split-${random.nextInt(3)}", rank = it) }
                val origins = List(3) { Location(RegionId("dalmacija"), ZoneId("split-$it")) }
                val first = origins.map { Router.order(candidates.shuffled(random), it, "p", crossRegionAllowed = true).first() }
                assertEquals(1, first.distinct().size)
            }
        }

    @Test
    fun `affinity never exceeds the load bound while a warm target is below it`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 5_202, iterations = 500), Arb.int()) { seed ->
                val random = Random(seed)
                val candidates = List(random.nextInt(2, 8)) { candidate("t$it", warm = true, outstanding = random.nextInt(20)) }
                val first = Router.order(candidates, origin, "prefix-${random.nextInt()}", crossRegionAllowed = true).first()
                val bound = 1.25 * (candidates.sumOf { it.outstanding } + 1) / candidates.size
                assertTrue(first.outstanding <= bound, "${first.outstanding} outstanding requests exceed the bound $bound.")
            }
        }

    @Test
    fun `retries stay within their share of the requests when every target fails`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 5_203, iterations = 200), Arb.int(1, 2_000)) { requests ->
                val budget = RetryBudget(share = 0.1, burst = 10.0)
                val retries = (1..requests).count { budget.deposit().let { budget.withdraw() } }
                assertTrue(retries <= 10 + requests * 0.1 + 1, "$retries retries for $requests requests.")
            }
        }

    @Test
    fun `a silent connection is detected only while work is outstanding`() {
        val cases =
            listOf(
                Triple(
                    "idle",
                    false,
                    listOf(
                        500L to ConnectionAction.KEEP,
                        5_000L to ConnectionAction.KEEP,
                        60_000L to ConnectionAction.CLOSE_IDLE,
                    ),
                ),
                Triple(
                    "silent",
                    true,
                    listOf(
                        300L to ConnectionAction.KEEP,
                        450L to ConnectionAction.PROBE,
                        1_500L to ConnectionAction.REPLACE,
                    ),
                ),
            )
        cases.forEach { (name, working, checks) ->
            val health = ConnectionHealth(startMs = 0)
            health.check(nowMs = 0, working)
            checks.forEach { (nowMs, expected) -> assertEquals(expected, health.check(nowMs, working), "$name at $nowMs ms") }
        }
    }

    @Test
    fun `a message that was delayed for too long is not fresh`() {
        val guard = TransitGuard(maximumTransitMs = 1_000)
        val cases = listOf(Triple(0L, 500L, true), Triple(100L, 600L, true), Triple(200L, 1_700L, true), Triple(300L, 1_801L, false))
        cases.forEach { (sentMs, receivedMs, fresh) -> assertEquals(fresh, guard.isFresh(sentMs, receivedMs), "sent at $sentMs ms") }
    }

    @Test
    fun `the holder of a lease changes only when the object is unchanged for the duration by the observer's clock`() {
        val held = Lease(holder = "a", term = 3, renewal = 7)
        val cases =
            listOf(
                "free" to listOf(Triple(null, 0L, LeaseAction.Write(Lease("b", term = 1)))),
                "released" to listOf(Triple(held.copy(holder = ""), 0L, LeaseAction.Write(Lease("b", term = 4)))),
                "held" to listOf(Triple(held, 0L, LeaseAction.Wait), Triple(held.copy(renewal = 8), 5_000L, LeaseAction.Wait)),
                "expired" to listOf(Triple(held, 0L, LeaseAction.Wait), Triple(held, 6_000L, LeaseAction.Write(Lease("b", term = 4)))),
                "own" to listOf(Triple(held.copy(holder = "b"), 0L, LeaseAction.Write(Lease("b", term = 3, renewal = 8)))),
            )
        cases.forEach { (name, checks) ->
            val observer = LeaseObserver(self = "b", durationMs = 6_000)
            checks.forEach { (lease, nowMs, expected) -> assertEquals(expected, observer.observe(lease, nowMs), "$name at $nowMs ms") }
        }
    }
}
