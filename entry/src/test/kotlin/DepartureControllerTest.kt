package org.almondjunction.entry

import kotlinx.coroutines.test.runTest
import org.almondjunction.common.HostId
import org.almondjunction.common.ModelId
import org.almondjunction.common.TargetId
import org.almondjunction.common.VirtualClock
import org.almondjunction.decisions.ClusterView
import org.almondjunction.decisions.Right
import org.almondjunction.decisions.RightsShard
import org.almondjunction.decisions.VersionedShard
import org.almondjunction.protocol.Message
import kotlin.test.Test
import kotlin.test.assertEquals

class DepartureControllerTest {
    private val host = HostId("host-1")
    private val right = Right(ModelId("m"), rank = 0, TargetId("t"), epoch = 1)
    private val lostView =
        ClusterView(
            shards = mapOf(0 to VersionedShard(1, RightsShard(nextEpoch = 2, rights = listOf(right)))),
            hostOfLostTarget = mapOf(TargetId("t") to host),
        )

    private fun reply(
        upMs: Long = 1_000_000,
        contactAgeMs: Long? = null,
    ) = Message.LastContactReply("entry", upMs, listOfNotNull(contactAgeMs?.let { host to it }).toMap())

    @Test
    fun `a removed host counts as departed only when every member replies and none had contact with it within the settling time`() =
        runTest {
            val cases =
                listOf(
                    Triple("no member had contact within the settling time", listOf(reply(), reply(contactAgeMs = 70_000)), setOf(host)),
                    Triple("one member had contact within the settling time", listOf(reply(), reply(contactAgeMs = 59_000)), emptySet()),
                    Triple("one member has run for less than the settling time", listOf(reply(), reply(upMs = 59_000)), emptySet()),
                    Triple("one member does not answer", null, emptySet()),
                )
            cases.forEach { (name, replies, expected) ->
                val clock = VirtualClock()
                val controller = DepartureController(settlingMs = 60_000, clock) { replies }
                assertEquals(emptySet(), controller.departedHosts(lostView), name)
                clock.advanceBy(59_999)
                assertEquals(emptySet(), controller.departedHosts(lostView), name)
                clock.advanceBy(1)
                assertEquals(expected, controller.departedHosts(lostView), name)
            }
        }

    @Test
    fun `a host that is listed again no longer counts as departed`() =
        runTest {
            val clock = VirtualClock()
            val controller = DepartureController(settlingMs = 60_000, clock) { listOf(reply()) }
            controller.departedHosts(lostView)
            clock.advanceBy(60_000)
            assertEquals(setOf(host), controller.departedHosts(lostView))
            assertEquals(emptySet(), controller.departedHosts(ClusterView(shards = lostView.shards)))
            assertEquals(emptySet(), controller.departedHosts(lostView))
        }
}
