package org.almondjunction.entry

import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.almondjunction.decisions.Members
import org.almondjunction.decisions.StoreCall
import org.almondjunction.decisions.StoreKeys
import org.almondjunction.decisions.StoreReply
import org.almondjunction.objectstore.ObjectStore
import kotlin.random.Random

/** Registers this process in [Members] before it serves agents, and removes it when it no longer serves them. */
internal class MembershipController(
    private val settings: EntrySettings,
    private val holder: StateHolder,
    private val store: ObjectStore,
) {
    /** Whether this process is registered; only then do queries to all members include its contacts with agents. */
    val registered: Boolean get() = holder.view.members.hosts[settings.host] == settings.internal

    /** Retries until this process is registered. */
    suspend fun register() {
        while (!registered) {
            change { it.copy(hosts = it.hosts + (settings.host to settings.internal)) }
            delay(RETRY_MS / 2 + Random.nextLong(RETRY_MS))
        }
    }

    /** Removes this process from [Members]; called once no agent can reach it. */
    suspend fun unregister() = change { it.copy(hosts = it.hosts - settings.host) }

    private suspend fun change(edit: (Members) -> Members) {
        val call =
            when (val reply = store.call(StoreCall.Read(StoreKeys.MEMBERS))) {
                is StoreReply.Found -> {
                    val current = Json.decodeFromString<Members>(reply.value)
                    val edited = edit(current)
                    if (edited == current) return
                    StoreCall.Replace(StoreKeys.MEMBERS, encode(edited), reply.version)
                }
                StoreReply.Absent -> StoreCall.Create(StoreKeys.MEMBERS, encode(edit(Members())))
                is StoreReply.Written, StoreReply.Conflict, StoreReply.Lost -> return
            }
        store.call(call)
    }

    private fun encode(members: Members) = Json.encodeToString(Members.serializer(), members)

    private companion object {
        const val RETRY_MS = 500L
    }
}
