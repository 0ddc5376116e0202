package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.almondjunction.common.HostId
import org.almondjunction.common.ModelId
import org.almondjunction.common.TargetId

/**
 * An object as read from the platform's object store.
 *
 * @property version version of this object; the condition of a later replacement
 */
@Serializable
public data class StoredObject(
    val key: String,
    val version: Long,
    val value: String,
) {
    /** Decodes [value]; null if that is not possible. */
    public inline fun <reified T> decode(): T? =
        try {
            Json.decodeFromString<T>(value)
        } catch (_: SerializationException) {
            null
        }

    /** Whether [value] can be decoded as what [key] stands for; true for keys that the system does not use. */
    public val decodable: Boolean
        get() =
            when {
                key == StoreKeys.HEAD -> decode<TicketHead>() != null
                key == StoreKeys.MEMBERS -> decode<Members>() != null
                key.startsWith(ClusterView.RIGHTS_PREFIX) -> decode<RightsShard>() != null
                else -> true
            }
}

/**
 * A change of the accepted state, from the platform's object store or from another entry host.
 *
 * @property revision revision of the platform's object store after the change
 * @property objects objects below [StoreKeys.WATCHED_PREFIX] with their new content
 * @property catalogue change that brings the catalogue to the head among [objects], or to a later one
 * @property fleet the platform's list of hosts, if it is newer than [fleetVersion]
 */
@Serializable
public data class StateChange(
    val revision: Long,
    val objects: List<StoredObject> = emptyList(),
    val catalogue: CatalogueChange? = null,
    val fleet: Fleet? = null,
    val fleetVersion: Long = 0,
)

/**
 * The accepted state as known to one process. No field ever returns to an earlier version.
 *
 * @property hostOfLostTarget last known host of each target that the platform no longer lists
 */
public data class ClusterView(
    val revision: Long = NO_REVISION,
    val catalogue: Catalogue = Catalogue(),
    val head: TicketHead = TicketHead(),
    val headVersion: Long = 0,
    val shards: Map<Int, VersionedShard> = emptyMap(),
    val members: Members = Members(),
    val membersVersion: Long = 0,
    val fleet: Fleet = Fleet(),
    val fleetVersion: Long = 0,
    val hostOfLostTarget: Map<TargetId, HostId> = emptyMap(),
) {
    /** Whether any state has been received. */
    public val ready: Boolean get() = revision > NO_REVISION

    /** Rights of each model, by rank. */
    public val rightsByModel: Map<ModelId, List<Right>> by lazy {
        shards.values
            .flatMap { it.shard.rights }
            .groupBy { it.model }
            .mapValues { (_, rights) -> rights.sortedBy { it.rank } }
    }

    /** Rights of each target. */
    public val rightsByTarget: Map<TargetId, List<Right>> by lazy { shards.values.flatMap { it.shard.rights }.groupBy { it.target } }

    /** Returns the rights to [model] that are valid under this state. */
    public fun validRights(model: ModelId): List<Right> {
        val offer = catalogue.offers[model] ?: return emptyList()
        return rightsByModel[model].orEmpty().filter { !it.recalled && it.rank < offer.replicas }
    }

    /** Returns this view after [change]; parts that are older than this view, leave a gap or cannot be decoded are ignored. */
    public fun apply(change: StateChange): ClusterView {
        if (change.catalogue?.leavesGap(catalogue) == true) return this
        val newHead = change.objects.newer<TicketHead>(StoreKeys.HEAD, headVersion)
        val newMembers = change.objects.newer<Members>(StoreKeys.MEMBERS, membersVersion)
        val newShards =
            change.objects.mapNotNull { it.toShard() }.filter { (index, shard) ->
                shard.version > (shards[index]?.version ?: 0)
            }
        val newFleet = change.fleet?.takeIf { change.fleetVersion > fleetVersion || fleetVersion == 0L }
        return copy(
            revision = maxOf(revision, change.revision),
            catalogue = change.catalogue?.applyTo(catalogue) ?: catalogue,
            head = newHead?.first ?: head,
            headVersion = newHead?.second ?: headVersion,
            shards = if (newShards.isEmpty()) shards else shards + newShards,
            members = newMembers?.first ?: members,
            membersVersion = newMembers?.second ?: membersVersion,
            fleet = newFleet ?: fleet,
            fleetVersion = if (newFleet == null) fleetVersion else change.fleetVersion,
            hostOfLostTarget = newFleet?.let { lostTargets(it) } ?: hostOfLostTarget,
        )
    }

    private fun lostTargets(newFleet: Fleet): Map<TargetId, HostId> =
        (hostOfLostTarget + fleet.targets.mapValues { it.value.host }).filterKeys { it !in newFleet.targets }

    /** Returns the content and version of the object [key] if it is newer than [knownVersion]. */
    private inline fun <reified T> List<StoredObject>.newer(
        key: String,
        knownVersion: Long,
    ): Pair<T, Long>? {
        val newer = firstOrNull { it.key == key && it.version > knownVersion }
        return newer?.decode<T>()?.let { it to newer.version }
    }

    private fun StoredObject.toShard(): Pair<Int, VersionedShard>? {
        val index = key.removePrefix(RIGHTS_PREFIX).takeIf { it != key }?.toIntOrNull() ?: return null
        if (index !in 0 until RightsShard.COUNT || key != StoreKeys.rights(index)) return null
        return decode<RightsShard>()?.let { index to VersionedShard(version, it) }
    }

    /** Returns the complete content of this view as one change, for a process without state. */
    public fun toChange(): StateChange = changeSince(ClusterView())

    /** Returns the change from [known] to this view. */
    public fun changeSince(known: ClusterView): StateChange =
        StateChange(
            revision = revision,
            objects =
                listOfNotNull(
                    headObject().takeIf { headVersion > known.headVersion },
                    membersObject().takeIf { membersVersion > known.membersVersion },
                ) + shardObjects(known),
            catalogue = CatalogueChange.between(known.catalogue, catalogue),
            fleet = fleet.takeIf { fleetVersion > known.fleetVersion },
            fleetVersion = fleetVersion,
        )

    private fun headObject() = StoredObject(StoreKeys.HEAD, headVersion, Json.encodeToString(TicketHead.serializer(), head))

    private fun membersObject() = StoredObject(StoreKeys.MEMBERS, membersVersion, Json.encodeToString(Members.serializer(), members))

    private fun shardObjects(known: ClusterView): List<StoredObject> =
        shards
            .filter { (index, shard) -> shard.version > (known.shards[index]?.version ?: 0) }
            .map { (index, shard) ->
                StoredObject(StoreKeys.rights(index), shard.version, Json.encodeToString(RightsShard.serializer(), shard.shard))
            }

    internal companion object {
        const val RIGHTS_PREFIX = "state/rights/"
    }
}

/** A [RightsShard] with the version of its object. */
@Serializable
public data class VersionedShard(
    val version: Long,
    val shard: RightsShard,
)
