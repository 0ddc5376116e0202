package org.almondjunction.gateway

/**
 * Names of the headers that carry a request's fields between callers, gateways and targets.
 *
 * @property requestId identity of one request of a caller
 * @property deadlineMs milliseconds that the sender will still wait
 * @property model model, and after a slash an adapter
 * @property tokens tokens of the prompt and greatest number of tokens of the answer
 * @property promptParts parts of the prompt, in order, with their tokens
 * @property lastEvent last event that the caller has received
 * @property signature proof that an answer is a target's own
 * @property targetIdentity only the target with this identity may run the request
 * @property answeringTarget identity of the target that answers
 * @property notExecuted present where the target has not run the request
 * @property urgency rank of the request within its target, 0 is first
 * @property reserved headers that only the system sets; those of callers are dropped
 */
public data class HeaderNames(
    val requestId: String,
    val deadlineMs: String,
    val model: String,
    val tokens: String,
    val promptParts: String,
    val lastEvent: String,
    val signature: String,
    val targetIdentity: String,
    val answeringTarget: String,
    val notExecuted: String,
    val urgency: String,
    val reserved: Set<String>,
)
