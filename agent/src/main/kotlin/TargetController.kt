package org.almondjunction.agent

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.decisions.Order
import org.almondjunction.decisions.OrderReply
import org.almondjunction.decisions.ResidentPhase
import org.almondjunction.decisions.RightKey
import org.almondjunction.decisions.TargetEffect
import org.almondjunction.decisions.TargetEvent
import org.almondjunction.decisions.TargetKind
import org.almondjunction.decisions.TargetMachine
import org.almondjunction.decisions.TargetState

/** Effects of a [TargetMachine] that a [TargetController] delegates. */
internal interface TargetEffectHandler {
    fun dispatch(effect: TargetEffect.Dispatch)

    fun refuse(effect: TargetEffect.Refuse)

    fun interrupt(effect: TargetEffect.Interrupt)

    fun releaseRights(rights: List<RightKey>)
}

/** Drives a [TargetMachine]: passes it one event at a time, stores its state, and sends orders to the engine. */
internal class TargetController(
    initial: TargetState,
    private val machine: TargetMachine,
    private val backend: Backend,
    private val clock: Clock,
    private val metrics: Metrics,
    private val scope: CoroutineScope,
    private val reportIntervalMs: Long,
) {
    private val events = Channel<TargetEvent>(Channel.UNLIMITED)
    private val reportRequested = Channel<Unit>(Channel.CONFLATED)

    /** The state after the last event. */
    @Volatile
    var state: TargetState = initial
        private set

    fun submit(event: TargetEvent) {
        events.trySend(event)
    }

    fun start(effectHandler: TargetEffectHandler) {
        scope.launch { for (event in events) handle(event, effectHandler) }
        scope.launch { tick() }
        if (state.kind == TargetKind.ENGINE) scope.launch { poll() }
    }

    private fun handle(
        event: TargetEvent,
        effectHandler: TargetEffectHandler,
    ) {
        val transition = machine.handle(state, event, clock.nowMs())
        state = transition.state
        transition.effects.forEach { effect ->
            when (effect) {
                is TargetEffect.Send -> send(effect.order)
                is TargetEffect.Dispatch -> effectHandler.dispatch(effect)
                is TargetEffect.Refuse -> effectHandler.refuse(effect)
                is TargetEffect.Interrupt -> effectHandler.interrupt(effect)
                is TargetEffect.ReleaseRights -> effectHandler.releaseRights(effect.rights)
            }
        }
    }

    private fun send(order: Order) {
        val decidedMs = clock.nowMs()
        scope.launch {
            val reply = if (clock.nowMs() - decidedMs > ORDER_MAXIMUM_AGE_MS) OrderReply.REFUSED else backend.order(order)
            val action =
                when (order) {
                    is Order.Load -> "load"
                    is Order.Unload -> "unload"
                }
            metrics.count(MetricName.ORDERS, "$action-${reply.name.lowercase()}")
            EventLog.info("order $action ${order.key.model}", LogFields(outcome = reply.name.lowercase()))
            submit(TargetEvent.OrderReplied(order, reply))
            reportRequested.trySend(Unit)
        }
    }

    private suspend fun tick() {
        while (true) {
            delay(TICK_MS)
            submit(TargetEvent.Tick)
        }
    }

    private suspend fun poll() {
        while (true) {
            val requestedMs = clock.nowMs()
            backend.report()?.let { submit(TargetEvent.Reported(it, requestedMs)) }
            val intervalMs = if (isSettling()) BUSY_REPORT_INTERVAL_MS else reportIntervalMs
            withTimeoutOrNull(intervalMs) { reportRequested.receive() }
            delay(MINIMUM_REPORT_INTERVAL_MS)
        }
    }

    private fun isSettling() = !state.settled || state.residents.values.any { it.phase != ResidentPhase.Loaded }

    private companion object {
        /** Maximum time from the decision on an order to its sending; exceeded if the process was paused, then the order is dropped. */
        const val ORDER_MAXIMUM_AGE_MS = 500L
        const val TICK_MS = 100L
        const val BUSY_REPORT_INTERVAL_MS = 50L
        const val MINIMUM_REPORT_INTERVAL_MS = 10L
    }
}
