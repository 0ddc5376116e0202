package org.almondjunction.common

/**
 * HTTP statuses by which a server states that a request has not run and never will, so that its caller may repeat it.
 *
 * Other statuses, such as 500, 502 and 504, state nothing about it.
 */
public object RefusalStatus {
    private val statuses = setOf(408, 421, 429, 503)

    /** Whether [status] states that the request has not run. */
    public operator fun contains(status: Int): Boolean = status in statuses
}
