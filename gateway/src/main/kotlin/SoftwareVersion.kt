package org.almondjunction.gateway

/**
 * Version of the software of a target.
 *
 * @property name null for targets that tell no version, which count as one version of their own
 */
internal data class SoftwareVersion(
    val name: String?,
)

/** Version of the software of this target, as listed. */
internal val Target.softwareVersion: SoftwareVersion get() = SoftwareVersion(entry.softwareVersion)
