package org.almondjunction.objectstore

import org.almondjunction.decisions.Fleet
import org.almondjunction.decisions.StoreCall
import org.almondjunction.decisions.StoreReply
import org.almondjunction.decisions.StoredObject

/** The platform's object service, as the system uses it. */
public interface ObjectStore {
    /** Makes [call]; a failed call is [StoreReply.Lost] and never throws. */
    public suspend fun call(call: StoreCall): StoreReply

    /** Returns all objects whose keys begin with [prefix]; null when the service did not answer. */
    public suspend fun list(prefix: String): ObjectListing?

    /**
     * Waits until an object whose key begins with [prefix] changes after [revision], for [waitMs] at most.
     *
     * Returns the changed objects, possibly none; null when the service did not answer.
     */
    public suspend fun watch(
        prefix: String,
        revision: Long,
        waitMs: Long,
    ): ObjectListing?

    /** Waits until the list of hosts has a version above [version], for [waitMs] at most; null when the service did not answer. */
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

/** The list of hosts at one [version]. */
public data class FleetListing(
    val version: Long,
    val fleet: Fleet,
)
