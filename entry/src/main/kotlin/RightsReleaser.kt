package org.almondjunction.entry

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.json.Json
import org.almondjunction.decisions.RightKey
import org.almondjunction.decisions.RightsShard
import org.almondjunction.decisions.StoreCall
import org.almondjunction.decisions.StoreKeys
import org.almondjunction.decisions.StoreReply
import org.almondjunction.objectstore.ObjectStore

/** Removes rights that an agent released. Needs no leader: the agent's message is sufficient proof, and the update is conditional. */
internal class RightsReleaser(
    private val store: ObjectStore,
    private val holder: StateHolder,
) {
    private val mutex = Mutex()

    /** Removes [rights] from their shards; a failed removal is left to the agent's next retry. */
    suspend fun release(rights: List<RightKey>) {
        mutex.withLock {
            rights.groupBy { RightsShard.of(it.model) }.forEach { (index, keys) ->
                if (isHeld(index, keys)) release(index, keys)
            }
        }
    }

    private fun isHeld(
        index: Int,
        keys: List<RightKey>,
    ): Boolean = holder.view.shards[index]?.let { it.shard != it.shard.release(keys) } ?: true

    private suspend fun release(
        index: Int,
        keys: List<RightKey>,
    ) {
        repeat(MAXIMUM_ATTEMPTS) {
            val found = store.call(StoreCall.Read(StoreKeys.rights(index))) as? StoreReply.Found ?: return
            val shard = Json.decodeFromString<RightsShard>(found.value)
            val released = shard.release(keys)
            if (released == shard) return
            val value = Json.encodeToString(RightsShard.serializer(), released)
            when (store.call(StoreCall.Replace(StoreKeys.rights(index), value, found.version))) {
                is StoreReply.Written, StoreReply.Lost -> return
                StoreReply.Conflict, StoreReply.Absent, is StoreReply.Found -> Unit
            }
        }
    }

    private companion object {
        const val MAXIMUM_ATTEMPTS = 5
    }
}
