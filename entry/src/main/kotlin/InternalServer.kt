package org.almondjunction.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.almondjunction.common.Clock
import org.almondjunction.common.HostId
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.common.TargetId
import org.almondjunction.decisions.ClusterView
import org.almondjunction.decisions.ModelOffer
import org.almondjunction.decisions.Right
import org.almondjunction.protocol.Connection
import org.almondjunction.protocol.Message
import java.util.concurrent.ConcurrentHashMap

/** Serves agents and other entry hosts: distributes the accepted state and collects their reports. */
internal class InternalServer(
    private val settings: EntrySettings,
    private val holder: StateHolder,
    private val state: StateController,
    private val rightsReleaser: RightsReleaser,
    private val members: MembershipController,
    private val clock: Clock,
    private val metrics: Metrics,
    private val scope: CoroutineScope,
) {
    private val startedMs = clock.nowMs()
    private val agents = ConcurrentHashMap<Connection, AgentSession>()
    private val followers = ConcurrentHashMap<Connection, ClusterView>()
    private val lastContactMs = ConcurrentHashMap<HostId, Long>()
    private val lastReceivedMs = ConcurrentHashMap<Connection, Long>()
    private val statuses = ConcurrentHashMap<TargetId, Message.AgentStatus>()

    /** Latest status of each agent with a session at this process. */
    val agentStatuses: List<Message.AgentStatus> get() = agents.values.mapNotNull { statuses[it.target] }

    fun start() {
        scope.launch { closeSilentSessions() }
        scope.launch {
            holder.views.collect { view ->
                agents.forEach { (connection, session) -> update(connection, session, view) }
                followers.forEach { (connection, known) -> relay(connection, known, view) }
            }
        }
    }

    suspend fun onMessage(
        connection: Connection,
        message: Message,
    ) {
        agents[connection]?.let { lastContactMs[it.host] = clock.nowMs() }
        lastReceivedMs[connection] = clock.nowMs()
        when (message) {
            is Message.Hello -> checkVersion(connection, message)
            is Message.Ping -> connection.send(Message.Pong(message.sentMs))
            is Message.SubscribeTarget -> subscribe(connection, message)
            is Message.AgentStatus -> statuses[message.target] = message
            is Message.ReleaseRights -> scope.launch { rightsReleaser.release(message.rights) }
            is Message.SubscribeAll -> subscribeAll(connection)
            is Message.StatusQuery -> connection.send(status())
            is Message.LastContactQuery -> connection.send(lastContacts(message))
            else -> {
                metrics.count(MetricName.PROTOCOL_ERRORS, "unexpected")
                connection.close()
            }
        }
    }

    /** Closes silent sessions: once the queue of such a session is full, it would block updates to all others. */
    private suspend fun closeSilentSessions() {
        while (true) {
            delay(SESSION_CHECK_INTERVAL_MS)
            val silentSinceMs = clock.nowMs() - SESSION_TIMEOUT_MS
            lastReceivedMs.filterValues { it < silentSinceMs }.keys.forEach { connection ->
                metrics.count(MetricName.RECONNECTIONS, "session-silent")
                connection.close()
                onClosed(connection)
            }
        }
    }

    fun onClosed(connection: Connection) {
        lastReceivedMs.remove(connection)
        agents.remove(connection)
        followers.remove(connection)
    }

    /** Closes every session, so that agents connect to another entry host. */
    fun closeAll() = (agents.keys + followers.keys).forEach { it.close() }

    private fun checkVersion(
        connection: Connection,
        hello: Message.Hello,
    ) {
        if (hello.protocolVersion == Message.PROTOCOL_VERSION) return
        metrics.count(MetricName.PROTOCOL_ERRORS, "version")
        connection.close()
    }

    private suspend fun subscribe(
        connection: Connection,
        message: Message.SubscribeTarget,
    ) {
        if (!members.registered) return connection.close()
        val session = AgentSession(message.target, message.host)
        agents[connection] = session
        lastContactMs[message.host] = clock.nowMs()
        update(connection, session, holder.view)
        if (!message.needConfirmed) return
        scope.launch {
            if (!state.confirm()) return@launch
            agents[connection]?.let { current ->
                current.confirmed = true
                current.sentSlice = null
                update(connection, current, holder.view)
            }
        }
    }

    private suspend fun update(
        connection: Connection,
        session: AgentSession,
        view: ClusterView,
    ) {
        if (!view.ready) return
        val slice = TargetSlice.of(session.target, view)
        if (slice != session.sentSlice) {
            session.sentSlice = slice
            connection.send(
                Message.TargetStateUpdate(view.revision, view.catalogue.sequence, slice.offers, slice.rights, session.confirmed),
            )
        } else if (view.catalogue.sequence != session.sentSequence) {
            connection.send(Message.SequenceUpdate(view.catalogue.sequence))
        }
        session.sentSequence = view.catalogue.sequence
    }

    private suspend fun subscribeAll(connection: Connection) {
        val view = holder.view
        followers[connection] = view
        if (view.ready) connection.send(Message.RelayedChange(view.toChange()))
    }

    private suspend fun relay(
        connection: Connection,
        known: ClusterView,
        view: ClusterView,
    ) {
        if (view === known) return
        followers[connection] = view
        connection.send(Message.RelayedChange(view.changeSince(known)))
    }

    private fun status() =
        Message.StatusReply(
            settings.host,
            holder.view.catalogue.sequence,
            agentStatuses,
            crossRegionBytes = metrics.total(MetricName.CROSS_REGION_BYTES).toLong(),
        )

    private fun lastContacts(query: Message.LastContactQuery): Message.LastContactReply {
        val nowMs = clock.nowMs()
        val ages = query.hosts.mapNotNull { host -> lastContactMs[host]?.let { host to nowMs - it } }.toMap()
        return Message.LastContactReply(settings.host.value, upMs = nowMs - startedMs, agesMs = ages)
    }

    private companion object {
        const val SESSION_CHECK_INTERVAL_MS = 1_000L
        const val SESSION_TIMEOUT_MS = 8_000L
    }
}

/** Session of an agent, with the state that was last sent to it. */
internal class AgentSession(
    val target: TargetId,
    val host: HostId,
) {
    @Volatile
    var sentSlice: TargetSlice? = null

    @Volatile
    var sentSequence = -1L

    @Volatile
    var confirmed = false
}

/** The part of the accepted state that concerns one target. */
internal data class TargetSlice(
    val offers: List<ModelOffer>,
    val rights: List<Right>,
) {
    companion object {
        fun of(
            target: TargetId,
            view: ClusterView,
        ): TargetSlice {
            val rights = view.rightsByTarget[target].orEmpty()
            return TargetSlice(rights.mapNotNull { view.catalogue.offers[it.model] }.distinct(), rights)
        }
    }
}
