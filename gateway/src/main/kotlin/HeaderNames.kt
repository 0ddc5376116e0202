package org.almondjunction.gateway

/**
 * Names of the headers that carry fields of a request between callers, gateways and targets.
 *
 * @property requestId identity of one request of a caller
 * @property deadlineMs remaining time that the sender waits, in milliseconds
 * @property model model, optionally followed by a slash and an adapter
 * @property tokens number of tokens of the prompt and maximum number of tokens of the response
 * @property promptParts parts of the prompt, in order, with their numbers of tokens
 * @property lastEvent identity of the last event that the caller has received
 * @property signature proof that the target itself produced the response
 * @property targetIdentity identity of the only target that may run the request
 * @property answeringTarget identity of the target that responds
 * @property notExecuted present if the target has not run the request
 * @property urgency rank of the request within its target, 0 is first
 * @property apiKey key that identifies the tenant of a caller; never sent to a target
 * @property tenant name of the tenant, set by the gateway only
 * @property serverLeaving present with the value 1 if the target that responds is shutting down
 * @property retryAfter seconds for which a target that responds with 503 wants no request
 * @property resumes request that brought the first event of the stream which its caller takes up
 * @property reserved headers that only the system may set, in lower case; they are removed from callers' requests
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
    val apiKey: String,
    val tenant: String,
    val serverLeaving: String,
    val retryAfter: String,
    val resumes: String,
    val reserved: Set<String>,
)
