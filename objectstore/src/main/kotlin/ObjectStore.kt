package org.almondjunction.objectstore

import org.almondjunction.decisions.Fleet
import org.almondjunction.decisions.StoreCall
import org.almondjunction.decisions.StoreReply
import org.almondjunction.decisions.StoredObject

/** Access to the platform's object service. */
public interface ObjectStore {
    /** Performs [call]; a failed call returns [StoreReply.Lost] instead of throwing. */
    public suspend fun call(call: StoreCall): StoreReply

    /** Returns all objects whose keys begin with [prefix]; null if the call failed. */
    public suspend fun list(prefix: String): ObjectListing?

    /**
     * Waits up to [waitMs] for a change, after [revision], of an object whose key begins with [prefix].
     *
     * Returns the changed objects, possibly none; null if the call failed.
     */
    public suspend fun watch(
        prefix: String,
        revision: Long,
        waitMs: Long,
    ): ObjectListing?

    /** Waits up to [waitMs] for a version of the host list above [version]; null if the call failed. */
    public suspend fun hosts(
        version: Long,
        waitMs: Long,
    ): FleetListing?
}

/** Objects at one [revision] of the service. */
public data class ObjectListing(
    val revision: Long,
    val objects: List<StoredObject>,
)

/** Host list at one [version]. */
public data class FleetListing(
    val version: Long,
    val fleet: Fleet,
)
