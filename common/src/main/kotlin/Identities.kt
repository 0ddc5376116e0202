package org.almondjunction.common

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identity of a machine, as the platform's host list names it. */
@Serializable
@JvmInline
public value class HostId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identity of a region. */
@Serializable
@JvmInline
public value class RegionId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identity of an availability zone; unique over all regions. */
@Serializable
@JvmInline
public value class ZoneId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identity of a target: one model engine or one instance of a plain service. */
@Serializable
@JvmInline
public value class TargetId(
    public val value: String,
) : Comparable<TargetId> {
    override fun compareTo(other: TargetId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identity of a service: a group of targets that offer the same thing. */
@Serializable
@JvmInline
public value class ServiceId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identity of a model in the catalogue. */
@Serializable
@JvmInline
public value class ModelId(
    public val value: String,
) : Comparable<ModelId> {
    override fun compareTo(other: ModelId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identity of an adapter; unique over all models. */
@Serializable
@JvmInline
public value class AdapterId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identity of one request; unique over all callers. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Number that operators give to a ticket; accepted numbers only rise. */
@Serializable
@JvmInline
public value class TicketNumber(
    public val value: Long,
) : Comparable<TicketNumber> {
    override fun compareTo(other: TicketNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Where a process or target is. */
@Serializable
public data class Location(
    val region: RegionId,
    val zone: ZoneId,
) {
    /** Returns how far [other] is, as a class of cost. */
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

/** An IP number and a port. */
@Serializable
public data class Address(
    val ip: String,
    val port: Int,
) {
    override fun toString(): String = if (':' in ip) "[$ip]:$port" else "$ip:$port"

    public companion object {
        /** Parses `ip:port` or `[ip]:port`; returns null when [text] is neither. */
        public fun parse(text: String): Address? {
            val separator = text.lastIndexOf(':')
            if (separator <= 0) return null
            val ip = text.substring(0, separator).removeSurrounding("[", "]")
            val port = text.substring(separator + 1).toIntOrNull()?.takeIf { it in PORTS } ?: return null
            return Address(ip = ip, port = port).takeIf { IpNumber.isValid(ip) }
        }

        private val PORTS = 1..65_535
    }
}

/** Recognizes IP numbers without asking a name service. */
internal object IpNumber {
    private val VERSION_4 = Regex("""(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(\.(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)){3}""")
    private val VERSION_6 = Regex("""[0-9a-fA-F:]*:[0-9a-fA-F:.]*""")

    fun isValid(text: String): Boolean = VERSION_4.matches(text) || VERSION_6.matches(text)
}
