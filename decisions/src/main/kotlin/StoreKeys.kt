package org.almondjunction.decisions

import org.almondjunction.common.TicketNumber

/** Keys of the objects that the system keeps in the platform's object store. */
public object StoreKeys {
    /** Prefix of the objects that entry hosts watch. */
    public const val WATCHED_PREFIX: String = "state/"

    /** The [TicketHead]. */
    public const val HEAD: String = "state/head"

    /** The [Members]. */
    public const val MEMBERS: String = "state/members"

    /** The lease that names the active controller. */
    public const val CONTROLLER_LEASE: String = "controller/lease"

    /** Key of the [RightsShard] with index [shard]. */
    public fun rights(shard: Int): String = "state/rights/$shard"

    /** Key of the ticket with [number]. */
    public fun ticket(number: TicketNumber): String = "tickets/$number"

    /** Key of the [LogPage] with [index]. */
    public fun logPage(index: Long): String = "log/$index"

    /** Key of one part of the catalogue snapshot at [sequence]. */
    public fun snapshotPart(
        sequence: Long,
        part: Int,
    ): String = "snapshots/$sequence/$part"

    /** Key of the record of one caller's idempotency key. */
    public fun idempotencyRecord(digest: String): String = "idempotency/$digest"
}
