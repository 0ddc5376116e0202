package org.almondjunction.decisions

/**
 * Version of the software of a target.
 *
 * @property name null for targets that tell no version, which count as one version of their own
 */
public data class SoftwareVersion(
    val name: String?,
)
