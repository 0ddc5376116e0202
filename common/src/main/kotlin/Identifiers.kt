package org.almondjunction.common

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identifier of a host, as given in the platform's host list. */
@Serializable
@JvmInline
public value class HostId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifier of a region. */
@Serializable
@JvmInline
public value class RegionId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifier of an availability zone; unique over all regions. */
@Serializable
@JvmInline
public value class ZoneId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifier of a target: one model engine or one instance of a plain service. */
@Serializable
@JvmInline
public value class TargetId(
    public val value: String,
) : Comparable<TargetId> {
    override fun compareTo(other: TargetId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifier of a service: a group of targets that offer the same thing. */
@Serializable
@JvmInline
public value class ServiceId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifier of a model in the catalogue. */
@Serializable
@JvmInline
public value class ModelId(
    public val value: String,
) : Comparable<ModelId> {
    override fun compareTo(other: ModelId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifier of an adapter; unique over all models. */
@Serializable
@JvmInline
public value class AdapterId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifier of one request; unique over all callers. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Number that operators assign to a ticket; the numbers of accepted tickets only increase. */
@Serializable
@JvmInline
public value class TicketNumber(
    public val value: Long,
) : Comparable<TicketNumber> {
    override fun compareTo(other: TicketNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
