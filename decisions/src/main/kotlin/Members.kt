package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import org.almondjunction.common.Address
import org.almondjunction.common.HostId

/**
 * Every entry host that an agent may be in contact with.
 *
 * An entry host joins before it serves its first agent and leaves after it has served its last one. One that has
 * disappeared remains a member until it returns or a ticket retires its host.
 *
 * @property hosts address on which each entry host listens for other processes of the system
 */
@Serializable
public data class Members(
    val hosts: Map<HostId, Address> = emptyMap(),
)
