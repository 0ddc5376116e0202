package org.almondjunction.network

import java.net.URLEncoder

/** Text as one component of a request target, such as a segment of its path or a value of its query (RFC 3986). */
public object UriComponent {
    /** Returns [text] in UTF-8 with each byte percent-encoded that could mean anything but itself. */
    public fun encode(text: String): String = URLEncoder.encode(text, Charsets.UTF_8).replace("+", "%20").replace("*", "%2A")
}
