package org.almondjunction.agent

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.common.RefusalReason
import org.almondjunction.common.RequestId
import org.almondjunction.common.TargetId
import org.almondjunction.common.UnknownReason
import org.almondjunction.decisions.PLAIN_SERVICE
import org.almondjunction.decisions.RequestRecord
import org.almondjunction.decisions.RequestRegistry
import org.almondjunction.decisions.RightKey
import org.almondjunction.decisions.TargetEffect
import org.almondjunction.decisions.TargetEvent
import org.almondjunction.decisions.TransitGuard
import org.almondjunction.decisions.WaitingRequest
import org.almondjunction.protocol.Connection
import org.almondjunction.protocol.Message
import org.almondjunction.protocol.Work
import java.util.concurrent.ConcurrentHashMap

/** Accepts requests from entry hosts, runs them when the controller dispatches them, and sends their answers. */
internal class RequestServer(
    private val target: TargetId,
    private val incarnation: String,
    private val controller: TargetController,
    private val backend: Backend,
    private val clock: Clock,
    private val metrics: Metrics,
    private val scope: CoroutineScope,
    private val onRightsReleased: (List<RightKey>) -> Unit,
) : TargetEffectHandler {
    private val registry = RequestRegistry()
    private val active = ConcurrentHashMap<RequestId, ActiveRequest>()
    private val guards = ConcurrentHashMap<Connection, TransitGuard>()

    @Volatile
    private var leaving = false

    /** Whether an entry host has a connection to this agent. */
    val connected: Boolean get() = guards.isNotEmpty()

    /** Notifies every entry host that this agent accepts no new requests; each closes its connection after its last answer. */
    fun announceLeaving() {
        leaving = true
        guards.keys.forEach { connection -> scope.launch { connection.send(Message.Leaving) } }
    }

    /** Whether a request is queued, running or being cancelled, or has an answer that has not been sent completely. */
    val busy: Boolean get() = active.values.any { !it.sent } || controller.state.running.isNotEmpty()

    suspend fun onMessage(
        connection: Connection,
        message: Message,
    ) {
        when (message) {
            is Message.Hello -> handleHello(connection, message)
            is Message.Ping -> connection.send(Message.Pong(message.sentMs))
            is Message.Start -> start(connection, message)
            is Message.Resume -> resume(connection, message)
            is Message.Acknowledge -> active[message.id]?.acknowledge(message.offset)
            is Message.Withdraw -> withdraw(connection, message.id)
            is Message.Cancel -> cancel(message.id)
            else -> {
                metrics.count(MetricName.PROTOCOL_ERRORS, "unexpected")
                connection.close()
            }
        }
    }

    private suspend fun handleHello(
        connection: Connection,
        hello: Message.Hello,
    ) {
        if (hello.protocolVersion != Message.PROTOCOL_VERSION) {
            metrics.count(MetricName.PROTOCOL_ERRORS, "version")
            return connection.close()
        }
        guards[connection] = TransitGuard()
        connection.send(Message.Hello(target.value, incarnation, leaving = leaving))
    }

    private suspend fun start(
        connection: Connection,
        message: Message.Start,
    ) {
        val guard = guards[connection] ?: return connection.close()
        val nowMs = clock.nowMs()
        val fresh = guard.isFresh(message.sentMs, nowMs)
        val record = synchronized(registry) { if (fresh) registry.register(message.id, nowMs) else registry.find(message.id) }
        when {
            record == RequestRecord.REFUSED -> connection.send(Message.Refused(message.id, RefusalReason.CANCELLED))
            record == RequestRecord.KNOWN -> active[message.id]?.attach(connection, 0) ?: connection.send(targetLost(message.id))
            fresh -> admit(connection, message, nowMs)
            else -> refuseUnregistered(connection, message.id, RefusalReason.DEADLINE_PASSED)
        }
    }

    private fun admit(
        connection: Connection,
        message: Message.Start,
        nowMs: Long,
    ) {
        val request = ActiveRequest(message.id, message.work, message.priority, nowMs + message.timeLeftMs, scope)
        active[message.id] = request
        request.attach(connection, 0)
        val (model, adapter) =
            when (val work = message.work) {
                is Work.Completion -> work.model to work.adapter
                is Work.PlainCall -> PLAIN_SERVICE.model to null
            }
        controller.submit(TargetEvent.Arrived(WaitingRequest(message.id, model, adapter, message.priority, nowMs, request.deadlineMs)))
    }

    private suspend fun resume(
        connection: Connection,
        message: Message.Resume,
    ) {
        active[message.id]?.let { return it.attach(connection, message.offset) }
        when (synchronized(registry) { registry.find(message.id) }) {
            RequestRecord.NEW, RequestRecord.REFUSED -> refuseUnregistered(connection, message.id, RefusalReason.NO_TARGET)
            RequestRecord.KNOWN -> connection.send(targetLost(message.id))
        }
    }

    private suspend fun withdraw(
        connection: Connection,
        id: RequestId,
    ) {
        val request = active[id]
        when {
            request?.runner != null -> connection.send(Message.Running(id))
            request != null -> controller.submit(TargetEvent.Withdrawn(id))
            synchronized(registry) { registry.find(id) } == RequestRecord.KNOWN -> connection.send(targetLost(id))
            else -> refuseUnregistered(connection, id, RefusalReason.DEADLINE_PASSED)
        }
    }

    private fun cancel(id: RequestId) {
        controller.submit(TargetEvent.Withdrawn(id))
        active[id]?.abandon()
    }

    private suspend fun refuseUnregistered(
        connection: Connection,
        id: RequestId,
        reason: RefusalReason,
    ) {
        synchronized(registry) { registry.refuse(id, clock.nowMs()) }
        connection.send(Message.Refused(id, reason))
    }

    private fun targetLost(id: RequestId) = Message.Failed(id, UnknownReason.TARGET_LOST)

    fun onClosed(connection: Connection) {
        guards.remove(connection)
        val detached = active.values.filter { it.detach(connection) }
        if (detached.isEmpty()) return
        scope.launch {
            delay(RESUME_WINDOW_MS)
            detached.filter { it.connection == null }.forEach { cancel(it.id) }
        }
    }

    override fun dispatch(effect: TargetEffect.Dispatch) {
        val request = active[effect.id] ?: return controller.submit(TargetEvent.Finished(effect.id))
        val job = scope.launch(start = CoroutineStart.LAZY) { run(request, effect) }
        request.runner = job
        job.start()
    }

    private suspend fun run(
        request: ActiveRequest,
        effect: TargetEffect.Dispatch,
    ) {
        val result =
            withTimeoutOrNull(request.deadlineMs - clock.nowMs()) {
                backend.run(request.id, request.work, effect.resident, request.priority, request)
            }
        when (result) {
            BackendResult.Complete -> end(request, Message.End(request.id, request.length), "complete")
            BackendResult.NotStarted -> refuse(TargetEffect.Refuse(request.id, RefusalReason.NO_TARGET))
            is BackendResult.Failed -> end(request, Message.Failed(request.id, result.reason), result.reason.code)
            null -> {
                end(request, Message.Failed(request.id, UnknownReason.TARGET_SILENT), UnknownReason.TARGET_SILENT.code)
                backend.cancel(request.id)
            }
        }
        controller.submit(TargetEvent.Finished(request.id))
    }

    override fun refuse(effect: TargetEffect.Refuse) {
        synchronized(registry) { registry.refuse(effect.id, clock.nowMs()) }
        metrics.count(MetricName.REFUSALS, effect.reason.code)
        val request = active[effect.id] ?: return
        finish(request, Message.Refused(effect.id, effect.reason, effect.expectedWaitMs), "not-run", effect.reason.code)
    }

    override fun interrupt(effect: TargetEffect.Interrupt) {
        val request = active[effect.id] ?: return
        if (request.ended) return
        end(request, Message.Failed(effect.id, UnknownReason.INTERRUPTED), UnknownReason.INTERRUPTED.code)
        scope.launch {
            request.runner?.cancel()
            backend.cancel(effect.id)
            controller.submit(TargetEvent.Finished(effect.id))
        }
    }

    override fun releaseRights(rights: List<RightKey>) = onRightsReleased(rights)

    private fun end(
        request: ActiveRequest,
        message: Message.RequestMessage,
        reason: String,
    ) {
        synchronized(registry) { registry.end(request.id, clock.nowMs()) }
        finish(request, message, if (message is Message.End) "served" else "unknown", reason)
    }

    private fun finish(
        request: ActiveRequest,
        message: Message.RequestMessage,
        outcome: String,
        reason: String,
    ) {
        request.finish(message)
        EventLog.info("request ended", LogFields(request.id, target, outcome, reason))
        scope.launch {
            val leftMs = (request.deadlineMs - clock.nowMs()).coerceAtLeast(0)
            withTimeoutOrNull(leftMs + RESUME_WINDOW_MS) { request.awaitSent() } ?: request.abandon()
            delay(ANSWER_RETENTION_MS)
            active.remove(request.id)
        }
    }

    private companion object {
        /** Time after the loss of a connection within which an entry host can request the rest of an answer. */
        const val RESUME_WINDOW_MS = 10_000L

        /** Time for which an answer is kept after it has been sent completely or abandoned. */
        const val ANSWER_RETENTION_MS = 15_000L
    }
}
