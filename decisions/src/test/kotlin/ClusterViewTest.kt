package org.almondjunction.decisions

import kotlinx.serialization.json.Json
import org.almondjunction.common.Address
import org.almondjunction.common.HostId
import kotlin.test.Test
import kotlin.test.assertEquals

class ClusterViewTest {
    private val members = Members(mapOf(HostId("entry-1") to Address("127.0.0.1", 7101)))
    private val text = Json.encodeToString(Members.serializer(), members)

    @Test
    fun `the first write after an empty listing is not passed over`() {
        val empty = ClusterView().apply(StateChange(revision = 0))
        assertEquals(true to 0L, empty.ready to empty.revision)
        assertEquals(false, ClusterView().apply(StateChange(revision = NO_REVISION, fleet = Fleet(), fleetVersion = 1)).ready)
    }

    @Test
    fun `a view never goes back and a relayed change carries what is lacking`() {
        val new = ClusterView().apply(StateChange(revision = 5, objects = listOf(StoredObject(StoreKeys.MEMBERS, 5, text))))
        val old = StateChange(revision = 3, objects = listOf(StoredObject(StoreKeys.MEMBERS, 3, """{"hosts":{}}""")))
        assertEquals(new, new.apply(old))
        val behind = ClusterView().apply(old)
        assertEquals(new, behind.apply(new.changeSince(behind)))
        assertEquals(emptyList(), new.changeSince(new).objects)
        assertEquals(new, ClusterView().apply(new.toChange()))
    }
}
