package org.almondjunction.gateway

/** Returns the decoded body of a chunked [answer], followed by "|end" if it is complete and by "|cut" if not. */
internal fun unchunk(answer: String): String {
    val out = StringBuilder()
    var rest = answer.substringAfter("\r\n\r\n")
    while (rest.isNotEmpty()) {
        val size = rest.substringBefore("\r\n").toInt(16)
        if (size == 0) return "$out|end"
        out.append(rest.substringAfter("\r\n").take(size))
        rest = rest.substringAfter("\r\n").drop(size + 2)
    }
    return "$out|cut"
}
