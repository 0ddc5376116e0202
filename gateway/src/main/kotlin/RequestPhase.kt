package org.almondjunction.gateway

/** How far a request has come at this gateway. */
internal enum class RequestPhase(
    val label: String,
) {
    /** No target has been found for it, or the last one refused it. */
    WAITING("waiting"),

    /** A connection to its target is being made; no byte of it has left. */
    CONNECTING("connecting"),

    /** It has left, at least in part, and no head of an answer has come. */
    SENT("sent"),

    /** The head of an answer has come, and nothing of it has been handed on. */
    ANSWER_ARRIVING("answer arriving"),

    /** Its caller has got the head of an answer. */
    ANSWER_BEGUN("answer begun"),
}
