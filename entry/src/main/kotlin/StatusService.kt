package org.almondjunction.entry

import kotlinx.serialization.Serializable
import org.almondjunction.common.Clock
import org.almondjunction.common.HostId
import org.almondjunction.common.ModelId
import org.almondjunction.common.TargetId
import org.almondjunction.common.TicketNumber
import org.almondjunction.decisions.Right

/** Collects the status that operators query. */
internal class StatusService(
    private val settings: EntrySettings,
    private val holder: StateHolder,
    private val state: StateController,
    private val leader: LeaderController,
    private val peers: PeerQueries,
    private val clock: Clock,
) {
    suspend fun status(): ClusterStatus {
        val view = holder.view
        val statuses = peers.statuses()
        return ClusterStatus(
            host = settings.host,
            sequence = view.catalogue.sequence,
            lastTicket = view.catalogue.lastNumber,
            leading = leader.leading,
            platformSilentMs = state.lastAnswerMs?.let { clock.nowMs() - it },
            entries =
                statuses.map { (address, status) ->
                    EntryStatus(status?.host, address.toString(), status?.sequence, status?.crossRegionBytes)
                },
            targets =
                statuses.values.filterNotNull().flatMap { it.agents }.sortedBy { it.target }.map { agent ->
                    TargetStatus(
                        agent.target,
                        agent.sequence,
                        agent.draining,
                        agent.memoryMb,
                        agent.reservedMb,
                        agent.waiting,
                        agent.running,
                        agent.residents
                            .map { key ->
                                listOfNotNull(key.model.value, key.version, key.adapter?.value).joinToString("/")
                            }.sorted(),
                    )
                },
            models =
                view.catalogue.offers.values.map {
                    ModelStatus(
                        it.model,
                        it.version,
                        it.replicas,
                        view.rightsByModel[it.model].orEmpty(),
                    )
                },
        )
    }
}

/** The state of the whole system as one entry host sees it. */
@Serializable
internal data class ClusterStatus(
    val host: HostId,
    val sequence: Long,
    val lastTicket: TicketNumber,
    val leading: Boolean,
    val platformSilentMs: Long?,
    val entries: List<EntryStatus>,
    val targets: List<TargetStatus>,
    val models: List<ModelStatus>,
)

/** One entry host; [sequence] and the bytes that it exchanged with targets of other regions are null when it did not answer. */
@Serializable
internal data class EntryStatus(
    val host: HostId?,
    val address: String,
    val sequence: Long?,
    val crossRegionBytes: Long?,
)

/** One target as reported by its agent. */
@Serializable
internal data class TargetStatus(
    val target: TargetId,
    val sequence: Long,
    val draining: Boolean,
    val memoryMb: Long,
    val reservedMb: Long,
    val waiting: Int,
    val running: Int,
    val residents: List<String>,
)

/** One offered model and the rights granted for it. */
@Serializable
internal data class ModelStatus(
    val model: ModelId,
    val version: String,
    val replicas: Int,
    val rights: List<Right>,
)
