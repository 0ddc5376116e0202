package org.almondjunction.decisions

import org.almondjunction.common.Outcome
import org.almondjunction.common.RefusalReason
import org.almondjunction.common.TargetId
import org.almondjunction.common.UnknownReason

/** Event that an entry host receives about a request in progress. */
public sealed class RequestEvent {
    /** The target reports that the request did not run there and never will. */
    public data class Refused(
        val reason: RefusalReason,
    ) : RequestEvent()

    /** The request was not sent, because the target could not be reached. */
    public data object NotSent : RequestEvent()

    /** Part of the answer arrived. */
    public data object Progress : RequestEvent()

    /** The complete answer arrived. */
    public data object Completed : RequestEvent()

    /** The target reports that the request failed after it started. */
    public data class Failed(
        val reason: UnknownReason,
    ) : RequestEvent()

    /** The process that had the request ended, and whether the request ran is unknown. */
    public data object Lost : RequestEvent()

    /** The deadline is near: the request should be withdrawn. */
    public data object DeadlineNear : RequestEvent()

    /** The deadline passed. */
    public data object DeadlinePassed : RequestEvent()

    /** This process is ending, and the target still has the request. */
    public data object Interrupted : RequestEvent()

    /** This process is ending, and the target does not have the request: it was not sent, or was withdrawn there. */
    public data object GivenUp : RequestEvent()
}

/** Next step of an entry host for a request. */
public sealed class RequestStep {
    /** Send the request to [target]. [retryReason] is null for the first attempt. */
    public data class Send(
        val target: TargetId,
        val retryReason: String?,
    ) : RequestStep()

    /** Ask the target to drop the request if it has not started it. */
    public data object Withdraw : RequestStep()

    /** Wait for the next event. */
    public data object Wait : RequestStep()

    /** The request ended with [outcome]. */
    public data class Conclude(
        val outcome: Outcome,
    ) : RequestStep()
}

/**
 * State machine of one request at its entry host.
 *
 * A request that is not repeatable is sent to another target only if every earlier target reported that it did not run.
 *
 * @param candidates targets in the order in which they are tried
 * @param repeatable whether the request may run more than once
 * @param retryPermitted takes one retry from the budget of a target; called only where the earlier attempt cost or will cost work, so
 * that a restarting target does not exhaust the budget
 */
public class RequestMachine(
    candidates: List<TargetId>,
    private val repeatable: Boolean,
    private val maximumAttempts: Int = 3,
    private val retryPermitted: (TargetId) -> Boolean = { true },
) {
    private val remaining = ArrayDeque(candidates)
    private var attempts = 0
    private var mayHaveRun = false
    private var heldByTarget = false
    private var answerStarted = false

    /** Returns the first step. */
    public fun start(): RequestStep = sendNext(retryReason = null, fallback = Outcome.NotRun(RefusalReason.NO_TARGET))

    /** Returns the step that follows [event]. */
    public fun next(event: RequestEvent): RequestStep =
        when (event) {
            is RequestEvent.Refused -> afterRefusal(event.reason)
            RequestEvent.NotSent -> notRun(RefusalReason.NO_TARGET, retryReason = "unreachable")
            RequestEvent.Progress -> RequestStep.Wait.also { answerStarted = true }
            RequestEvent.Completed -> RequestStep.Conclude(Outcome.Served)
            is RequestEvent.Failed -> afterFailure(event.reason, retryReason = event.reason.code)
            RequestEvent.Lost -> afterFailure(UnknownReason.TARGET_LOST, retryReason = "lost")
            RequestEvent.DeadlineNear -> if (heldByTarget) RequestStep.Withdraw else RequestStep.Wait
            RequestEvent.DeadlinePassed -> conclude(RefusalReason.DEADLINE_PASSED, UnknownReason.TARGET_SILENT)
            RequestEvent.Interrupted -> conclude(RefusalReason.LEAVING, UnknownReason.INTERRUPTED)
            RequestEvent.GivenUp -> RequestStep.Conclude(notRunOutcome(RefusalReason.LEAVING)).also { heldByTarget = false }
        }

    private fun afterRefusal(reason: RefusalReason): RequestStep =
        if (reason.retryableOnAnotherTarget) {
            notRun(reason, retryReason = reason.code, costly = !reason.transient)
        } else {
            heldByTarget = false
            RequestStep.Conclude(notRunOutcome(reason))
        }

    private fun notRun(
        reason: RefusalReason,
        retryReason: String,
        costly: Boolean = false,
    ): RequestStep {
        heldByTarget = false
        return sendNext(retryReason, fallback = notRunOutcome(reason), costly)
    }

    private fun afterFailure(
        reason: UnknownReason,
        retryReason: String,
    ): RequestStep {
        mayHaveRun = true
        heldByTarget = false
        val unknown = Outcome.Unknown(reason)
        return if (repeatable && !answerStarted) sendNext(retryReason, fallback = unknown, costly = true) else RequestStep.Conclude(unknown)
    }

    private fun sendNext(
        retryReason: String?,
        fallback: Outcome,
        costly: Boolean = false,
    ): RequestStep {
        if (attempts >= maximumAttempts) return RequestStep.Conclude(fallback)
        val target = remaining.removeFirstOrNull() ?: return RequestStep.Conclude(fallback)
        if (costly && !retryPermitted(target)) return RequestStep.Conclude(notRunOutcome(RefusalReason.RETRY_BUDGET_SPENT))
        attempts++
        heldByTarget = true
        return RequestStep.Send(target, retryReason)
    }

    private fun conclude(
        reason: RefusalReason,
        unknown: UnknownReason,
    ) = RequestStep.Conclude(if (heldByTarget) Outcome.Unknown(unknown) else notRunOutcome(reason))

    private fun notRunOutcome(reason: RefusalReason): Outcome =
        if (mayHaveRun) Outcome.Unknown(UnknownReason.TARGET_LOST, detail = reason.code) else Outcome.NotRun(reason)
}
