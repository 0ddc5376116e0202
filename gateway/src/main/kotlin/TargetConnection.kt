package org.almondjunction.gateway

import org.almondjunction.network.TcpConnection

/**
 * A connection to a target, with the identities of the requests that were sent on it.
 *
 * A target may repeat an answer at any later time. An identity names a request, not one send of it, so no connection carries the same
 * identity twice: a repeated answer then never has the identity of the request that waits for one.
 */
internal class TargetConnection(
    val tcp: TcpConnection,
) {
    private var identities = IntArray(INITIAL_IDENTITIES)
    private var count = 0

    /** Whether it carried a single request so far, to which every answer must belong. */
    val carriedOne: Boolean get() = count == 1

    /** Whether the request [id] may be sent on it; false also for some others, as only hashes are kept. */
    fun mayCarry(id: String): Boolean {
        val hash = id.hashCode()
        for (index in 0 until count) if (identities[index] == hash) return false
        return count < MAXIMUM_REQUESTS
    }

    /** Records that the request [id] is sent on it. */
    fun record(id: String) {
        check(mayCarry(id)) { "The connection has carried request $id." }
        if (count == identities.size) identities = identities.copyOf(count * 2)
        identities[count++] = id.hashCode()
    }

    private companion object {
        const val INITIAL_IDENTITIES = 4

        /** Bounds the memory for identities to 512 bytes a connection; one connection in this many requests is hardly a cost. */
        const val MAXIMUM_REQUESTS = 128
    }
}
