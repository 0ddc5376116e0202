package org.almondjunction.gateway

import org.almondjunction.common.Clock
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.SoftwareVersion
import org.almondjunction.decisions.StreamOrigins
import org.almondjunction.keeper.KeeperMessage
import org.almondjunction.keeper.SentStream

/**
 * Remembers the versions of the targets that streams were sent to, so that callers may take a stream up at any gateway.
 *
 * Each stream is reported to a few keepers, which all gateways choose by its request, when it is sent: long before its first event arrives, so
 * that this gateway may end at any moment after that.
 */
internal class StreamOriginClient(
    private val clock: Clock,
    private val registry: TargetRegistry,
    private val changed: Signal,
) {
    private val own = StreamOrigins()

    /** Keepers that have not answered yet, by request. */
    private val asked = mutableMapOf<String, MutableSet<String>>()

    init {
        registry.onResumedStreams = ::receive
    }

    /** Records that [request] is sent to a target of [version]. */
    fun record(
        request: String,
        version: SoftwareVersion,
    ) {
        own.record(request, version)
        val usage = KeeperMessage.Usage(emptyList(), sentStreams = listOf(SentStream(request, version.name)))
        keepersOf(request).take(REPORTED_KEEPERS).forEach { registry.send(it, usage) }
    }

    /** Returns the version of the target that [request] was sent to at any gateway; null if it is not known within [ANSWER_TIMEOUT_MS]. */
    suspend fun find(request: String): SoftwareVersion? {
        own.versionOf(request)?.let { return it }
        val keepers = keepersOf(request).take(ASKED_KEEPERS)
        val waiting = asked.getOrPut(request) { mutableSetOf() }
        waiting += keepers
        val usage = KeeperMessage.Usage(emptyList(), resumedStreams = listOf(request))
        keepers.forEach { registry.send(it, usage) }
        val untilMs = clock.nowMs() + ANSWER_TIMEOUT_MS
        try {
            while (true) {
                val seen = changed.count
                own.versionOf(request)?.let { return it }
                val leftMs = untilMs - clock.nowMs()
                if (waiting.isEmpty() || leftMs <= 0) return null
                changed.await(seen, leftMs)
            }
        } finally {
            asked -= request
        }
    }

    private fun receive(
        keeper: String,
        answers: List<SentStream>,
    ) {
        answers.forEach { answer ->
            val waiting = asked[answer.request] ?: return@forEach
            waiting -= keeper
            if (answer.known) own.record(answer.request, SoftwareVersion(answer.version))
        }
        changed.raise()
    }

    private fun keepersOf(request: String): List<String> = Rendezvous.order(request, registry.connectedKeepers) { it }

    private companion object {
        /** Some keepers may be lost at the same time as a gateway. */
        const val REPORTED_KEEPERS = 3

        /** More than are reported to, because gateways differ in the keepers that they reach. */
        const val ASKED_KEEPERS = 5

        /** Many times the round trip between regions. */
        const val ANSWER_TIMEOUT_MS = 300L
    }
}
