package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import org.almondjunction.common.Address
import org.almondjunction.common.HostId

/**
 * Every entry host that an agent may be in contact with.
 *
 * An entry host joins before it serves its first agent and leaves after it has served its last one. One that vanished stays, until it
 * is back or a ticket states that its host is retired.
 *
 * @property hosts where each entry host listens for other processes of the system
 */
@Serializable
public data class Members(
    val hosts: Map<HostId, Address> = emptyMap(),
)
