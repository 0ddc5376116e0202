package org.almondjunction.decisions

/**
 * Times of a planned stop of a process, in milliseconds of its monotonic clock.
 *
 * @property closedMs when the load balancer has stopped sending new connections, unless no other process is in rotation
 * @property finalResponseMs when requests whose response has not begun get an error response
 * @property exitMs when the process exits; a response that has begun and is not complete by then is cut off
 */
public data class PlannedStop(
    val closedMs: Long,
    val finalResponseMs: Long,
    val exitMs: Long,
)

/**
 * A request that a stopping process may start to answer.
 *
 * @property likelyMs time within which similar responses were complete; null if it is not known
 * @property endMs when its response ends at the latest, since its time limit or its caller's deadline has passed
 * @property streaming whether its response is relayed event by event, so that after the first event it can only be cut off
 */
public data class StoppingRequest(
    val arrivedMs: Long,
    val likelyMs: Long?,
    val endMs: Long,
    val streaming: Boolean,
)

/** Decides how a stopping process answers a request. */
public enum class StopAdmission {
    /** The response is relayed as it arrives. */
    RELAY,

    /** The response is buffered and relayed once it is complete, or replaced by an error response at [PlannedStop.finalResponseMs]. */
    BUFFER,

    /** The request is refused, so that its caller turns to another process. */
    REFUSE,
    ;

    public companion object {
        /**
         * Returns the admission of [request] at [nowMs].
         *
         * Only its time limit proves that a stream ends in time. A stream that arrives after [PlannedStop.closedMs], when no other
         * process is in rotation, is buffered if similar ones would be complete in time.
         */
        public fun of(
            request: StoppingRequest,
            stop: PlannedStop,
            nowMs: Long,
        ): StopAdmission {
            val late = request.streaming && request.arrivedMs >= stop.closedMs
            return when {
                request.endMs < stop.exitMs -> RELAY
                request.likelyMs == null -> REFUSE
                nowMs + request.likelyMs >= (if (late) stop.finalResponseMs else stop.exitMs) -> REFUSE
                late -> BUFFER
                else -> RELAY
            }
        }
    }
}
