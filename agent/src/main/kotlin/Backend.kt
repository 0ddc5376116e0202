package org.almondjunction.agent

import org.almondjunction.common.RequestId
import org.almondjunction.common.UnknownReason
import org.almondjunction.decisions.EngineReport
import org.almondjunction.decisions.Order
import org.almondjunction.decisions.OrderReply
import org.almondjunction.decisions.ResidentKey
import org.almondjunction.protocol.Work

/** The engine or plain service beside an agent. */
internal interface Backend {
    /** Sends [order]; never throws for a failed call. */
    suspend fun order(order: Order): OrderReply

    /** Returns what the backend holds; null when it did not answer. */
    suspend fun report(): EngineReport?

    /** Runs [work] once and writes its answer to [answer]. */
    suspend fun run(
        id: RequestId,
        work: Work,
        resident: ResidentKey,
        priority: Int,
        answer: AnswerSink,
    ): BackendResult

    /** Ends a request that is in progress. */
    suspend fun cancel(id: RequestId)
}

/** Takes the parts of an answer in order. */
internal interface AnswerSink {
    fun head(
        status: Int,
        contentType: String?,
    )

    fun append(bytes: ByteArray)
}

/** How a backend call ended. */
internal sealed class BackendResult {
    /** The answer is whole. */
    data object Complete : BackendResult()

    /** The call was never taken by the backend, so it did not run. */
    data object NotTaken : BackendResult()

    /** The call may have run, and the answer is not whole. */
    data class Broken(
        val reason: UnknownReason,
    ) : BackendResult()
}
