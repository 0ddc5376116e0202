package org.almondjunction.entry

import kotlinx.serialization.json.Json
import org.almondjunction.decisions.CatalogueSnapshot
import org.almondjunction.decisions.ClusterView
import org.almondjunction.decisions.LogPage
import org.almondjunction.decisions.StoreCall
import org.almondjunction.decisions.StoreKeys
import org.almondjunction.decisions.StoreReply
import org.almondjunction.decisions.TicketHead
import org.almondjunction.objectstore.ObjectStore

/** Bounds the size of the ticket head: writes log pages and a catalogue snapshot, then trims the tickets that they contain. */
internal class SnapshotWriter(
    private val store: ObjectStore,
) {
    /** Writes a snapshot if enough tickets were accepted since the last one. */
    suspend fun writeIfDue(view: ClusterView) {
        val head = view.head
        if (head.sequence != view.catalogue.sequence || head.sequence - head.snapshotSequence < SNAPSHOT_INTERVAL) return
        val snapshotWritten =
            CatalogueSnapshot.split(view.catalogue).withIndex().all { (index, part) ->
                create(StoreKeys.snapshotPart(part.sequence, index), Json.encodeToString(CatalogueSnapshot.serializer(), part))
            }
        if (!snapshotWritten || !writePages(head)) return
        val lastFullPage = LogPage.indexOf(head.sequence + 1) * LogPage.SIZE
        val trimmed = head.trim(minOf(head.sequence, lastFullPage)).copy(snapshotSequence = head.sequence)
        store.call(StoreCall.Replace(StoreKeys.HEAD, Json.encodeToString(TicketHead.serializer(), trimmed), view.headVersion))
    }

    private suspend fun writePages(head: TicketHead): Boolean {
        val firstPage = LogPage.indexOf(head.firstRecentSequence)
        val endPage = LogPage.indexOf(head.sequence + 1)
        return (firstPage until endPage).all { page ->
            val from = (LogPage.firstSequenceOf(page) - head.firstRecentSequence).toInt()
            if (from < 0) return@all true
            val numbers = head.recent.subList(from, from + LogPage.SIZE.toInt())
            create(StoreKeys.logPage(page), Json.encodeToString(LogPage.serializer(), LogPage(numbers)))
        }
    }

    private suspend fun create(
        key: String,
        value: String,
    ): Boolean =
        when (store.call(StoreCall.Create(key, value))) {
            is StoreReply.Written, StoreReply.Conflict -> true
            StoreReply.Lost, StoreReply.Absent, is StoreReply.Found -> false
        }

    private companion object {
        const val SNAPSHOT_INTERVAL = 128L
    }
}
