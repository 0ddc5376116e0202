package org.almondjunction.common

import kotlinx.serialization.Serializable

/** Region and availability zone of a process or target. */
@Serializable
public data class Location(
    val region: RegionId,
    val zone: ZoneId,
) {
    /** Returns the class of network distance to [other]. */
    public fun distanceTo(other: Location): Distance =
        when {
            zone == other.zone -> Distance.SAME_ZONE
            region == other.region -> Distance.SAME_REGION
            else -> Distance.OTHER_REGION
        }
}

/** Class of network distance, nearest first. */
public enum class Distance {
    SAME_ZONE,
    SAME_REGION,
    OTHER_REGION,
}
