package org.almondjunction.gateway

import org.almondjunction.common.Location
import org.almondjunction.common.RegionId
import org.almondjunction.common.ZoneId

/** Location of a gateway, and the region of each zone. */
public data class Topology(
    val location: Location,
    val regionOfZone: Map<ZoneId, RegionId>,
) {
    /** Returns the expected one-way delay to [zone], in milliseconds. */
    public fun delayMs(zone: ZoneId): Double =
        when {
            zone == location.zone -> IN_ZONE_MS
            regionOfZone[zone] == location.region -> BETWEEN_ZONES_MS
            else -> BETWEEN_REGIONS_MS
        }

    private companion object {
        /** Typical one-way delays in the users' networks. */
        const val IN_ZONE_MS = 0.1
        const val BETWEEN_ZONES_MS = 1.0
        const val BETWEEN_REGIONS_MS = 12.0
    }
}
