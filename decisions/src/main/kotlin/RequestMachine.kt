package org.almondjunction.decisions

import org.almondjunction.common.Outcome
import org.almondjunction.common.RefusalReason
import org.almondjunction.common.TargetId
import org.almondjunction.common.UnknownReason

/** What an entry host hears about a request in progress. */
public sealed class RequestEvent {
    /** The target says that the request did not run there and never will. */
    public data class Refused(
        val reason: RefusalReason,
    ) : RequestEvent()

    /** The request was never handed over: the target could not be reached. */
    public data object NotSent : RequestEvent()

    /** Part of the answer arrived. */
    public data object Progress : RequestEvent()

    /** The whole answer arrived. */
    public data object Completed : RequestEvent()

    /** The target says that the request failed after it began. */
    public data class Failed(
        val reason: UnknownReason,
    ) : RequestEvent()

    /** The process that had the request is gone, and nobody can tell how far it came. */
    public data object Lost : RequestEvent()

    /** The deadline is near: the request should be withdrawn. */
    public data object DeadlineNear : RequestEvent()

    /** The deadline passed. */
    public data object DeadlinePassed : RequestEvent()

    /** This process ends, and the target still has the request. */
    public data object Interrupted : RequestEvent()

    /** This process ends, and the target does not have the request: it was not handed over, or was given up there. */
    public data object GivenUp : RequestEvent()
}

/** What an entry host does next with a request. */
public sealed class RequestStep {
    /** Hand the request to [target]. [retryReason] is null for the first attempt. */
    public data class Send(
        val target: TargetId,
        val retryReason: String?,
    ) : RequestStep()

    /** Ask the target to give the request up if it has not begun. */
    public data object Withdraw : RequestStep()

    /** Go on waiting. */
    public data object Wait : RequestStep()

    /** The request is over. */
    public data class Conclude(
        val outcome: Outcome,
    ) : RequestStep()
}

/**
 * Life of one request at its entry host.
 *
 * A request that may not be repeated goes to a further target only if every earlier one said that it did not run.
 *
 * @param candidates targets in the order in which they are tried
 * @param repeatable whether the request may run more than once
 * @param retryPermitted takes one retry from the budget of a target; asked only where the earlier attempt cost or will cost work, so
 * that a target that restarts does not use the budget up
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
    private var handedOver = false
    private var progressed = false

    /** Returns the first step. */
    public fun start(): RequestStep = sendNext(retryReason = null, otherwise = Outcome.NotRun(RefusalReason.NO_TARGET))

    /** Returns the step that follows [event]. */
    public fun next(event: RequestEvent): RequestStep =
        when (event) {
            is RequestEvent.Refused -> afterRefusal(event.reason)
            RequestEvent.NotSent -> notRun(RefusalReason.NO_TARGET, retryReason = "unreachable")
            RequestEvent.Progress -> RequestStep.Wait.also { progressed = true }
            RequestEvent.Completed -> RequestStep.Conclude(Outcome.Served)
            is RequestEvent.Failed -> afterFailure(event.reason, retryReason = event.reason.code)
            RequestEvent.Lost -> afterFailure(UnknownReason.TARGET_LOST, retryReason = "lost")
            RequestEvent.DeadlineNear -> if (handedOver) RequestStep.Withdraw else RequestStep.Wait
            RequestEvent.DeadlinePassed -> conclude(RefusalReason.DEADLINE_PASSED, UnknownReason.TARGET_SILENT)
            RequestEvent.Interrupted -> conclude(RefusalReason.LEAVING, UnknownReason.INTERRUPTED)
            RequestEvent.GivenUp -> RequestStep.Conclude(notRunOutcome(RefusalReason.LEAVING)).also { handedOver = false }
        }

    private fun afterRefusal(reason: RefusalReason): RequestStep =
        if (reason.worthAnotherTarget) {
            notRun(reason, retryReason = reason.code, costly = !reason.passing)
        } else {
            handedOver = false
            RequestStep.Conclude(notRunOutcome(reason))
        }

    private fun notRun(
        reason: RefusalReason,
        retryReason: String,
        costly: Boolean = false,
    ): RequestStep {
        handedOver = false
        return sendNext(retryReason, otherwise = notRunOutcome(reason), costly)
    }

    private fun afterFailure(
        reason: UnknownReason,
        retryReason: String,
    ): RequestStep {
        mayHaveRun = true
        handedOver = false
        val unknown = Outcome.Unknown(reason)
        return if (repeatable && !progressed) sendNext(retryReason, otherwise = unknown, costly = true) else RequestStep.Conclude(unknown)
    }

    private fun sendNext(
        retryReason: String?,
        otherwise: Outcome,
        costly: Boolean = false,
    ): RequestStep {
        if (attempts >= maximumAttempts) return RequestStep.Conclude(otherwise)
        val target = remaining.removeFirstOrNull() ?: return RequestStep.Conclude(otherwise)
        if (costly && !retryPermitted(target)) return RequestStep.Conclude(notRunOutcome(RefusalReason.RETRY_BUDGET_SPENT))
        attempts++
        handedOver = true
        return RequestStep.Send(target, retryReason)
    }

    private fun conclude(
        reason: RefusalReason,
        unknown: UnknownReason,
    ) = RequestStep.Conclude(if (handedOver) Outcome.Unknown(unknown) else notRunOutcome(reason))

    private fun notRunOutcome(reason: RefusalReason): Outcome =
        if (mayHaveRun) Outcome.Unknown(UnknownReason.TARGET_LOST, detail = reason.code) else Outcome.NotRun(reason)
}
