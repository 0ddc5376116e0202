package org.almondjunction.decisions

/** What may be done with a request a second time. */
public enum class RetrySafety {
    /** It may run any number of times. */
    IDEMPOTENT,

    /** It may run once at most. */
    ONCE,

    /** It may run again, and an answer that broke off may be continued by another target. */
    RESUMABLE,
}

/** What became of one send of a request to a target. */
public sealed class SendResult {
    /** Whether it is known that the target has not run the request and never will. */
    public abstract val knownNotRun: Boolean

    /** No byte of the request left this process. */
    public data object NotSent : SendResult() {
        override val knownNotRun: Boolean get() = true
    }

    /** The target says that it has not run the request. */
    public data class Refused(
        val targetIsAnother: Boolean = false,
    ) : SendResult() {
        override val knownNotRun: Boolean get() = true
    }

    /** The request left, and no answer that can be trusted came back. */
    public data object Lost : SendResult() {
        override val knownNotRun: Boolean get() = false
    }

    /** The target ran the request and answered with a failure of its own. */
    public data object Failed : SendResult() {
        override val knownNotRun: Boolean get() = false
    }
}

/** What happens next with a request whose last send did not serve it. */
public sealed class ForwardingStep {
    /** Send it to another target. */
    public data object Retry : ForwardingStep()

    /** Tell the caller that it has not run and never will. */
    public data object AnswerNotRun : ForwardingStep()

    /** Tell the caller that its outcome is not known. */
    public data object AnswerUnknown : ForwardingStep()

    /** Hand the target's own failure to the caller. */
    public data object PassFailure : ForwardingStep()
}

/**
 * What is known of a request between two sends.
 *
 * @property mayHaveRun whether an earlier send may have run
 * @property runsLeft targets that may still run it beyond the one just tried, by its route's limit
 * @property refusalsLeft sends that may still follow one that is known not to have run
 */
public data class ForwardingState(
    val kind: RetrySafety,
    val mayHaveRun: Boolean,
    val runsLeft: Int,
    val refusalsLeft: Int,
    val timeLeftMs: Long,
)

/** The one table from what was sent and what came back to what happens next. */
public object ForwardingDecision {
    /** Returns the step after [result]; [takeRepeat] is asked last and takes one repeat out of the budget. */
    public fun after(
        state: ForwardingState,
        result: SendResult,
        takeRepeat: () -> Boolean,
    ): ForwardingStep {
        val mayHaveRun = state.mayHaveRun || !result.knownNotRun
        val allowed =
            when (result) {
                SendResult.NotSent, is SendResult.Refused -> state.refusalsLeft > 0
                SendResult.Lost, SendResult.Failed -> state.kind != RetrySafety.ONCE && state.runsLeft > 0
            }
        val costsRepeat = result != SendResult.NotSent
        if (allowed && state.timeLeftMs >= LEAST_TIME_MS && (!costsRepeat || takeRepeat())) return ForwardingStep.Retry
        return when {
            result == SendResult.Failed -> ForwardingStep.PassFailure
            mayHaveRun -> ForwardingStep.AnswerUnknown
            else -> ForwardingStep.AnswerNotRun
        }
    }

    /** A send with less time than this cannot be answered over one round trip between regions. */
    private const val LEAST_TIME_MS = 40L
}
