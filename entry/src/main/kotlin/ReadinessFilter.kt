package org.almondjunction.entry

import org.almondjunction.common.Outcome
import org.almondjunction.common.RefusalReason

/** Refuses requests while this process has no accepted state, and after the notice period of a graceful stop. */
internal class ReadinessFilter(
    private val holder: StateHolder,
    private val drain: DrainState,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        answer: AnswerWriter,
        next: suspend (Exchange, AnswerWriter) -> Outcome,
    ): Outcome =
        when {
            !holder.view.ready -> Outcome.NotRun(RefusalReason.NOT_READY)
            drain.refusing -> Outcome.NotRun(RefusalReason.LEAVING)
            else -> next(exchange, answer)
        }
}
