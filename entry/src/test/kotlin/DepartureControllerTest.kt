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
    private val lost =
        ClusterView(
            shards = mapOf(0 to VersionedShard(1, RightsShard(nextEpoch = 2, rights = listOf(right)))),
            hostOfLostTarget = mapOf(TargetId("t") to host),
        )

    private fun reply(
        upMs: Long = 1_000_000,
        heardMsAgo: Long? = null,
    ) = Message.LastHeardReply("entry", upMs, listOfNotNull(heardMsAgo?.let { host to it }).toMap())

    @Test
    fun `a vanished host is proven gone only when every member has been asked and denies`() =
        runTest {
            val cases =
                listOf(
                    Triple("all deny", listOf(reply(), reply(heardMsAgo = 70_000)), setOf(host)),
                    Triple("one heard it lately", listOf(reply(), reply(heardMsAgo = 59_000)), emptySet()),
                    Triple("one is up too short to know", listOf(reply(), reply(upMs = 59_000)), emptySet()),
                    Triple("one does not answer", null, emptySet()),
                )
            cases.forEach { (name, replies, expected) ->
                val clock = VirtualClock()
                val controller = DepartureController(settlingMs = 60_000, clock) { replies }
                assertEquals(emptySet(), controller.provenGone(lost), name)
                clock.advanceBy(59_999)
                assertEquals(emptySet(), controller.provenGone(lost), name)
                clock.advanceBy(1)
                assertEquals(expected, controller.provenGone(lost), name)
            }
        }

    @Test
    fun `a host that is listed again is no longer counted as vanished`() =
        runTest {
            val clock = VirtualClock()
            val controller = DepartureController(settlingMs = 60_000, clock) { listOf(reply()) }
            controller.provenGone(lost)
            clock.advanceBy(60_000)
            assertEquals(setOf(host), controller.provenGone(lost))
            assertEquals(emptySet(), controller.provenGone(ClusterView(shards = lost.shards)))
            assertEquals(emptySet(), controller.provenGone(lost))
        }
}
