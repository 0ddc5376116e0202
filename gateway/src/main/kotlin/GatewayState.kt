package org.almondjunction.gateway

import org.almondjunction.decisions.AnswerDurations
import org.almondjunction.decisions.DemandStatistics
import org.almondjunction.decisions.EngineSignals
import org.almondjunction.decisions.PlannedStop
import org.almondjunction.decisions.WorkloadStatistics
import org.almondjunction.network.ByteBudget

/** Mutable state shared by the components of a gateway. */
internal class GatewayState(
    val crashes: CrashTracker,
    val proof: ConfigurationProof = ConfigurationProof(),
) {
    val changed = Signal()
    var configuration: GatewayConfiguration? = null

    /** Times of the planned stop in progress; null until one starts. */
    var stop: PlannedStop? = null

    val stopping: Boolean get() = stop != null

    /** Budget for buffered bodies and incomplete events. */
    val buffered = ByteBudget(Runtime.getRuntime().maxMemory() / HEAP_DIVISOR)

    /** Statistics of the requests for each model. */
    val demand = DemandStatistics()

    /** What targets have said about themselves in their answers. */
    val signals = EngineSignals()
    val waitingCallers = WaitingCallers()
    val workStatistics = WorkloadStatistics()

    /** Statistics of the response durations of each route. */
    val answerDurations = AnswerDurations()

    private companion object {
        /** Bodies may fill the heap divided by this; joining the parts of a body needs the same amount again. */
        const val HEAP_DIVISOR = 4
    }
}
