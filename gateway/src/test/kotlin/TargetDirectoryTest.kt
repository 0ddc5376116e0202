package org.almondjunction.gateway

import org.almondjunction.common.Address
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import org.almondjunction.common.VirtualClock
import org.almondjunction.common.ZoneId
import kotlin.test.Test
import kotlin.test.assertEquals

class TargetDirectoryTest {
    private val clock = VirtualClock()
    private val ready = mutableMapOf<String, Boolean>()
    private val services = mutableSetOf("s", "t")
    private val directory =
        TargetDirectory(clock, isConfigured = { it.value in services }) { change ->
            when (change) {
                is TargetDirectory.Change.Put -> ready[change.entry.target.value] = change.entry.ready
                is TargetDirectory.Change.Removed -> ready -= change.target.value
            }
        }

    private fun entry(
        name: String,
        ready: Boolean = true,
        startedMs: Long = 1,
        sequence: Long = 1,
        port: Int = 80,
        service: String = "s",
    ) = TargetEntry(TargetId(name), ServiceId(service), Address("10.0.0.1", port), ZoneId("z"), ready, 4, startedMs, sequence, emptyMap())

    @Test
    fun `a stale report never makes a draining target ready again`() {
        directory.put(entry("a", ready = false, sequence = 5))
        directory.put(entry("a", ready = true, sequence = 4))
        directory.put(entry("a", ready = true, sequence = 5))
        assertEquals(mapOf("a" to false), ready)
        directory.put(entry("a", ready = true, startedMs = 2, sequence = 1))
        assertEquals(mapOf("a" to true), ready)
        directory.put(entry("a", ready = false, startedMs = 1, sequence = 9))
        assertEquals(mapOf("a" to true), ready)
    }

    @Test
    fun `of two targets at one address the one that started later is kept`() {
        directory.put(entry("a", startedMs = 1))
        directory.put(entry("b", startedMs = 2))
        assertEquals(mapOf("b" to true), ready)
        directory.put(entry("a", startedMs = 1, sequence = 9))
        directory.put(entry("c", startedMs = 1, port = 81))
        assertEquals(mapOf("b" to true, "c" to true), ready)
        directory.put(entry("c", startedMs = 3))
        assertEquals(mapOf("c" to true), ready)
        directory.put(entry("d", startedMs = 1, port = 81))
        assertEquals(mapOf("c" to true, "d" to true), ready)
    }

    // Guards against a running target that is replaced by an entry of another writer with its address and a later start.
    @Test
    fun `an entry of a service that is not configured removes no target at its address`() {
        val running = entry("running", startedMs = 5)
        val unknown = entry("unknown", startedMs = 9, service = "nobody")
        for (order in listOf(listOf(running, unknown), listOf(unknown, running))) {
            directory.replaceAll(emptyList())
            order.forEach { directory.put(it.copy(sequence = it.sequence + clock.nowMs())) }
            assertEquals(setOf("running", "unknown"), ready.keys)
            clock.advanceBy(1)
        }
    }

    // Guards against a target that is still used although another one has taken its address, since its service was configured later.
    @Test
    fun `a target of a service that is configured later replaces an earlier one at its address`() {
        services -= "t"
        directory.put(entry("old", startedMs = 1))
        directory.put(entry("new", startedMs = 2, service = "t"))
        directory.put(entry("older", startedMs = 0, service = "t"))
        assertEquals(setOf("old", "new", "older"), ready.keys)
        services += "t"
        directory.updateServices()
        assertEquals(setOf("new"), ready.keys)
        directory.put(entry("again", startedMs = 1))
        assertEquals(setOf("new"), ready.keys)
    }

    @Test
    fun `entries that disappear are kept until the given time`() {
        directory.replaceAll(listOf(entry("a"), entry("b"), entry("leaving", ready = false)))
        directory.replaceAll(emptyList(), keepUntilMs = clock.nowMs() + 2_000)
        assertEquals(setOf("a", "b"), ready.keys)
        clock.advanceBy(1_500)
        directory.put(entry("a", sequence = 2))
        clock.advanceBy(600)
        directory.expire()
        assertEquals(setOf("a"), ready.keys)
    }

    // Guards against a target that has ended and is used again, since the store came back from an older copy.
    @Test
    fun `a removed or draining target is used again only with a later start or a higher sequence`() {
        directory.put(entry("draining", ready = false, sequence = 5, port = 81))
        directory.put(entry("removed", sequence = 5, port = 82))
        directory.put(entry("replaced", sequence = 5, port = 83))
        directory.put(entry("new", startedMs = 2, port = 83))
        directory.remove(TargetId("removed"))
        directory.replaceAll(emptyList(), keepUntilMs = clock.nowMs() + 2_000)
        clock.advanceBy(2_000)
        directory.expire()
        assertEquals(emptySet(), ready.keys)
        val copy =
            listOf("draining" to 81, "removed" to 82, "replaced" to 83).map { (name, port) ->
                entry(name, sequence = 5, port = port)
            }
        directory.replaceAll(copy, keepUntilMs = clock.nowMs() + 2_000)
        directory.replaceAll(copy.map { it.copy(sequence = 4) }, keepUntilMs = clock.nowMs() + 2_000)
        directory.replaceAll(copy.map { it.copy(startedMs = 0, sequence = 9) }, keepUntilMs = clock.nowMs() + 2_000)
        assertEquals(emptySet(), ready.keys)
        directory.put(copy[0].copy(sequence = 6))
        directory.put(copy[1].copy(startedMs = 2, sequence = 1))
        assertEquals(setOf("draining", "removed"), ready.keys)
    }

    // Guards against live targets that stay unused after a store that had lost them lists them again unchanged.
    @Test
    fun `a target whose entry only expired is used again as it was`() {
        directory.put(entry("a", sequence = 5))
        directory.replaceAll(emptyList(), keepUntilMs = clock.nowMs() + 2_000)
        clock.advanceBy(2_000)
        directory.expire()
        assertEquals(emptySet(), ready.keys)
        directory.put(entry("a", sequence = 5))
        assertEquals(setOf("a"), ready.keys)
    }

    // Guards against memory that grows with every target that was ever removed.
    @Test
    fun `the oldest removed targets are forgotten`() {
        val removed = RemovedTargets(maximumTargets = 2)
        listOf("a", "b", "a", "c").forEach { removed.add(entry(it)) }
        assertEquals(2, removed.size)
        assertEquals(listOf(true, false, true), listOf("a", "b", "c").map { removed.covers(entry(it)) })
    }

    @Test
    fun `entries that disappear are removed immediately if no other time is given`() {
        directory.replaceAll(listOf(entry("a"), entry("b")))
        directory.replaceAll(listOf(entry("b")))
        directory.remove(TargetId("b"))
        assertEquals(emptySet(), ready.keys)
    }
}
