package org.almondjunction.decisions

import kotlinx.serialization.Serializable
import org.almondjunction.common.Address
import org.almondjunction.common.HostId
import org.almondjunction.common.Location
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId

/** State of a host in the platform's list. */
@Serializable
public enum class HostStatus {
    LIVE,
    LEAVING,
}

/** Kind of a target. */
@Serializable
public enum class TargetKind {
    ENGINE,
    PLAIN,
}

/**
 * One target as the platform lists it.
 *
 * @property agent address of the agent of the target
 * @property memoryMb accelerator memory for models and adapters, in megabytes; 0 for a plain service
 */
@Serializable
public data class TargetRecord(
    val target: TargetId,
    val service: ServiceId,
    val kind: TargetKind,
    val agent: Address,
    val memoryMb: Long = 0,
)

/**
 * One host as the platform lists it.
 *
 * @property entry address on which the entry process of this host listens for other processes of the system; null on other hosts
 */
@Serializable
public data class HostRecord(
    val host: HostId,
    val location: Location,
    val status: HostStatus = HostStatus.LIVE,
    val targets: List<TargetRecord> = emptyList(),
    val entry: Address? = null,
)

/** A target with its host and location, and whether its host is leaving. */
public data class PlacedTarget(
    val record: TargetRecord,
    val host: HostId,
    val location: Location,
    val leaving: Boolean,
)

/** The hosts that the platform lists at one moment. */
@Serializable
public data class Fleet(
    val hosts: List<HostRecord> = emptyList(),
) {
    /** All targets by identity. */
    public val targets: Map<TargetId, PlacedTarget> by lazy {
        hosts
            .flatMap { host -> host.targets.map { PlacedTarget(it, host.host, host.location, host.status == HostStatus.LEAVING) } }
            .associateBy { it.record.target }
    }

    /** Targets of each service. */
    public val byService: Map<ServiceId, List<PlacedTarget>> by lazy { targets.values.groupBy { it.record.service } }
}
