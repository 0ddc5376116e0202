package org.almondjunction.gateway

import org.almondjunction.common.VirtualClock
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.RetrySafety
import org.almondjunction.keeper.EngineCrash
import org.almondjunction.keeper.PromptPart
import org.almondjunction.network.HttpHeader
import org.almondjunction.network.HttpHeaders
import org.almondjunction.network.RequestHead
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class CrashTrackerTest {
    private val clock = VirtualClock(100_000)
    private var quarantines = 0
    private val gateways = setOf("g0", "g1", "g2")
    private val trackers = gateways.associateWith { name -> CrashTracker(clock, name) { quarantines++ } }

    private fun request(parts: String): ForwardedRequest {
        val head = RequestHead("POST", "/", HttpHeaders(listOf(HttpHeader("Parts", parts))))
        return ForwardedRequest.of(
            head,
            ByteArray(0),
            GatewayFixture.route(RetrySafety.ONCE, streaming = true),
            clock.nowMs(),
            GatewayFixture.NAMES,
        )
    }

    private val bad = request("first:1,bad:1,own:1")
    private val sound = request("first:1,other:1,own:1")
    private val parts = bad.parts.shared.mapIndexed { index, part -> PromptPart(part, index) }

    private fun crash(number: Int) = EngineCrash(number.toLong(), ageMs = 1_000L * (10 - number), parts)

    private fun receive(crashes: Int): Unit = trackers.values.forEach { it.receive("10.0.0.1", (1..crashes).map(::crash)) }

    private fun admissions(request: ForwardedRequest) = trackers.values.map { it.admit(request, gateways) }

    @Test
    fun `requests are refused after two ends, by all gateways alike`() {
        receive(1)
        assertEquals(setOf(CrashTracker.Admission.Admitted), admissions(bad).toSet())
        receive(2)
        assertEquals(setOf<CrashTracker.Admission>(CrashTracker.Admission.Refused(retryAfterMs = 7_000)), admissions(bad).toSet())
        assertEquals(setOf(CrashTracker.Admission.Admitted), admissions(sound).toSet())
        assertEquals(gateways.size, quarantines)
    }

    @Test
    fun `requests are confined after two ends and refused after three while engines end by chance, by all gateways alike`() {
        val chanceEnds = (1..3).map { EngineCrash(it.toLong(), ageMs = 1_000L * (20 - it), listOf(PromptPart(it.toLong(), position = 0))) }
        trackers.values.forEach { it.receive("10.0.0.2", chanceEnds) }
        receive(1)
        assertEquals(setOf(CrashTracker.Admission.Admitted), admissions(bad).toSet())
        receive(2)
        assertEquals(1, admissions(bad).toSet().size)
        assertEquals(parts.last().part, assertIs<CrashTracker.Admission.Confined>(admissions(bad).first()).part)
        receive(3)
        assertEquals(setOf<CrashTracker.Admission>(CrashTracker.Admission.Refused(retryAfterMs = 8_000)), admissions(bad).toSet())
        assertEquals(setOf(CrashTracker.Admission.Admitted), admissions(sound).toSet())
        assertEquals(gateways.size, quarantines)
    }

    // Guards against a request whose last part ends engines, and against a session that is refused for one end.
    @Test
    fun `requests with a last part are refused after two ends, and a complete answer releases it`() {
        val own = bad.parts.last ?: error("no last part")
        val lastPart = PromptPart(own.part, own.position, last = true)

        fun receive(crashes: Int) =
            trackers.values.forEach { tracker ->
                tracker.receive("10.0.0.1", (1..crashes).map { EngineCrash(it.toLong(), ageMs = 1_000L * (10 - it), listOf(lastPart)) })
            }
        receive(1)
        assertEquals(setOf(CrashTracker.Admission.Admitted), admissions(bad).toSet())
        receive(2)
        assertEquals(setOf<CrashTracker.Admission>(CrashTracker.Admission.Refused(retryAfterMs = 7_000)), admissions(bad).toSet())
        val goesOn = request("first:1,bad:1,own:1,next:1")
        assertEquals(setOf<CrashTracker.Admission>(CrashTracker.Admission.Refused(retryAfterMs = 7_000)), admissions(goesOn).toSet())
        assertEquals(setOf(CrashTracker.Admission.Admitted), admissions(request("first:1,bad:1,other:1")).toSet())
        assertEquals(
            listOf(lastPart),
            trackers
                .getValue("g0")
                .crashesOf("10.0.0.1")
                .first()
                .parts,
        )
        assertEquals(setOf("10.0.0.1"), trackers.getValue("g0").recordAnswer(bad).keys)
        assertEquals(CrashTracker.Admission.Admitted, trackers.getValue("g0").admit(bad, gateways))
    }

    @Test
    fun `every gateway has its turn to send a probe`() {
        receive(2)
        clock.advanceBy(7_000)
        val probers =
            (1..30).flatMap {
                clock.advanceBy(10_000)
                trackers
                    .filterValues { tracker ->
                        tracker.admit(bad, gateways) is CrashTracker.Admission.Confined
                    }.keys
                    .also { assertEquals(1, it.size) }
            }
        assertEquals(gateways, probers.toSet())
    }

    // Guards against several gateways that each lose an engine to find out the same.
    @Test
    fun `one gateway at a time sends a probe, and an answer to it releases the part`() {
        receive(2)
        clock.advanceBy(7_000)
        val probing = trackers.filterValues { (it.admit(bad, gateways) as? CrashTracker.Admission.Confined)?.probe == true }
        val part = parts.last().part
        assertEquals(listOf(Rendezvous.order("$part/2/0", gateways) { it }.first()), probing.keys.toList())
        val prober = probing.values.single()
        prober.beginProbe(part)
        assertIs<CrashTracker.Admission.Refused>(prober.admit(bad, gateways))
        prober.endProbe(part)
        assertEquals(setOf("10.0.0.1"), prober.recordAnswer(bad).keys)
        assertEquals(CrashTracker.Admission.Admitted, prober.admit(bad, gateways))
    }
}
