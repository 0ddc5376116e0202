package org.almondjunction.gateway

/** Progress of a request at this gateway. */
internal enum class RequestPhase(
    val label: String,
) {
    /** No target has been selected yet, or the last one refused the request. */
    WAITING("waiting"),

    /** A connection to the target is being established; no byte of the request has been sent. */
    CONNECTING("connecting"),

    /** At least a part of the request has been sent, and no head of a response has arrived. */
    SENT("sent"),

    /** The head of a response has arrived, and no part of the response has been passed on. */
    ANSWER_ARRIVING("answer arriving"),

    /** The head of a response has been sent to the caller. */
    ANSWER_BEGUN("answer begun"),
}
