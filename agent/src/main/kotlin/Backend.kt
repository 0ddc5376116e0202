package org.almondjunction.agent

import org.almondjunction.common.RequestId
import org.almondjunction.common.UnknownReason
import org.almondjunction.decisions.EngineReport
import org.almondjunction.decisions.Order
import org.almondjunction.decisions.OrderReply
import org.almondjunction.decisions.ResidentKey
import org.almondjunction.protocol.Work

/** The engine or plain service of an agent's target. */
internal interface Backend {
    /** Sends [order] and returns the reply; a failed call is reported as a reply and does not throw. */
    suspend fun order(order: Order): OrderReply

    /** Returns the models that the backend has loaded or cached; null if the call failed. */
    suspend fun report(): EngineReport?

    /** Runs [work] once and writes its answer to [answer]. */
    suspend fun run(
        id: RequestId,
        work: Work,
        resident: ResidentKey,
        priority: Int,
        answer: AnswerSink,
    ): BackendResult

    /** Cancels a request that is in progress. */
    suspend fun cancel(id: RequestId)
}

/** Receives the parts of an answer in order. */
internal interface AnswerSink {
    fun head(
        status: Int,
        contentType: String?,
    )

    fun append(bytes: ByteArray)
}

/** Result of a backend call. */
internal sealed class BackendResult {
    /** The answer is complete. */
    data object Complete : BackendResult()

    /** The backend could not be reached, so the call did not run. */
    data object NotStarted : BackendResult()

    /** The call may have run, and the answer is incomplete. */
    data class Failed(
        val reason: UnknownReason,
    ) : BackendResult()
}
