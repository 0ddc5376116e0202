package org.almondjunction.decisions

/**
 * Content of a lease in the platform's store.
 *
 * @property holder host of the keeper that wrote it
 * @property incarnation start of that keeper's process, which distinguishes it from an earlier process of the same host, but not from
 *   processes of other hosts
 * @property term number of changes of the holder
 * @property renewals number of writes that the holder has tried, so that no two of its writes are equal
 */
public data class LeaseRecord(
    val holder: String,
    val incarnation: Long,
    val term: Long,
    val renewals: Long,
)
