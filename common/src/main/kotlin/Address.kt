package org.almondjunction.common

import kotlinx.serialization.Serializable
import java.net.InetAddress
import java.net.UnknownHostException

/**
 * IP address and port.
 *
 * @property ip IPv4 or IPv6 address, without brackets
 * @property port port number; [parse] accepts 1 to 65535
 */
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
            val host = text.substring(0, separator)
            val ip = host.removeSurrounding("[", "]")
            if (':' in ip && ip == host) return null
            val port = text.substring(separator + 1).toIntOrNull()?.takeIf { it in PORTS } ?: return null
            return Address(ip = ip, port = port).takeIf { IpAddress.isValid(ip) }
        }

        private val PORTS = 1..65_535
    }
}

/** Recognizes literal IP addresses without DNS lookups. */
internal object IpAddress {
    private val IPV4 = Regex("""(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)(\.(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)){3}""")
    private val IPV6 = Regex("""[0-9a-fA-F:]*:[0-9a-fA-F:.]*""")

    fun isValid(text: String): Boolean = IPV4.matches(text) || (IPV6.matches(text) && isLiteral(text))

    private fun isLiteral(text: String): Boolean =
        try {
            // A name in brackets is never looked up.
            InetAddress.getByName("[$text]")
            true
        } catch (_: UnknownHostException) {
            false
        }
}
