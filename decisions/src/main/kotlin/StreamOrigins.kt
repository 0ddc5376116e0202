package org.almondjunction.decisions

/** Versions of the targets that streams were last sent to, by request; the least recently used ones are dropped. */
public class StreamOrigins {
    private val versions = LruMap<String, SoftwareVersion>(MAXIMUM_STREAMS)

    /** Records that [request] was sent to a target of [version]. */
    public fun record(
        request: String,
        version: SoftwareVersion,
    ) {
        if (request.length <= MAXIMUM_REQUEST_LENGTH) versions[request] = version
    }

    /** Returns the version of the target that [request] was last sent to; null if it is unknown. */
    public fun versionOf(request: String): SoftwareVersion? = versions[request]

    private companion object {
        /** Streams of a busy fleet within the longest time in which a caller takes one up; about 1 MB. */
        const val MAXIMUM_STREAMS = 8_192

        /** Bounds the memory, since callers choose the identity; several times a UUID. */
        const val MAXIMUM_REQUEST_LENGTH = 128
    }
}
