package org.almondjunction.gateway

import org.almondjunction.common.Clock
import org.almondjunction.common.EventLog
import org.almondjunction.common.LogFields
import org.almondjunction.decisions.CrashEvidence
import org.almondjunction.decisions.PartVerdict
import org.almondjunction.decisions.Rendezvous
import org.almondjunction.decisions.SuspectPart
import org.almondjunction.decisions.TargetCrash
import org.almondjunction.keeper.AnsweredPart
import org.almondjunction.keeper.BrokenOff
import org.almondjunction.keeper.EngineCrash
import org.almondjunction.keeper.PromptPart

/**
 * Keeps requests away from engines that they would end, by what this gateway saw and what keepers report of all gateways.
 *
 * @param gateway name of this gateway
 * @param onQuarantined called when another prompt part is quarantined
 */
internal class CrashTracker(
    private val clock: Clock,
    private val gateway: String,
    private val onQuarantined: () -> Unit = {},
) {
    /** Whether a request may be sent. */
    sealed class Admission {
        data object Admitted : Admission()

        /** It may be sent to one target only, the same for all requests with [part]; [probe] if it may end that target. */
        data class Confined(
            val part: Long,
            val probe: Boolean,
        ) : Admission()

        /** It would end its target; after [retryAfterMs] that is tried again. */
        data class Refused(
            val retryAfterMs: Long,
        ) : Admission()
    }

    private val evidence = CrashEvidence()
    private val probes = mutableSetOf<Long>()
    private var quarantined = emptySet<Long>()

    /** Number of prompt parts that are quarantined now. */
    val quarantinedParts: Int get() = quarantined.size

    /** Replaces the crashes of the engine whose keeper is at [source]; returns those of their parts that are known to be innocent. */
    fun receive(
        source: String,
        crashes: List<EngineCrash>,
    ): List<AnsweredPart> {
        val nowMs = clock.nowMs()
        val innocent =
            evidence.replace(
                source,
                crashes.map { crash ->
                    TargetCrash(crash.startedMs, nowMs - crash.ageMs, crash.parts.map { SuspectPart(it.part, it.position, it.last) })
                },
            )
        update()
        return innocent.map { (part, answeredMs) -> AnsweredPart(part, nowMs - answeredMs) }
    }

    /** Returns what is known of the crashes of the engine whose keeper is at [source]. */
    fun crashesOf(source: String): List<EngineCrash> =
        evidence.crashesOf(source).map { crash ->
            EngineCrash(crash.id, clock.nowMs() - crash.atMs, crash.parts.map { it.toMessage() })
        }

    /** Returns the report of a [request] that [target] broke off; null if it cannot have ended the target. */
    fun brokenOff(
        request: ForwardedRequest,
        target: Target,
        inFlight: InFlightRequest,
    ): BrokenOff? {
        val beginningMs = inFlight.answeringMs
        val pastBeginning = beginningMs != null && clock.nowMs() - beginningMs > ANSWER_BEGINNING_MS
        if (pastBeginning || !target.entry.ready) return null
        val suspects = suspects(request)
        return if (suspects.isEmpty()) null else BrokenOff(target.entry.startedMs, suspects.map { it.toMessage() })
    }

    private fun SuspectPart.toMessage() = PromptPart(part, position, last)

    private fun suspects(request: ForwardedRequest): List<SuspectPart> =
        evidence.suspects(request.parts.shared, clock.nowMs(), request.parts.last)

    /** Returns the last of the parts of [request] that may end its target; null if complete answers have cleared all of them. */
    fun lastSuspect(request: ForwardedRequest): Long? = suspects(request).lastOrNull()?.part

    /** Whether the incarnation of the engine at [ip] that started at [startedMs] is known to have ended under requests. */
    fun hasEnded(
        ip: String,
        startedMs: Long,
    ): Boolean = evidence.hasEnded(ip, startedMs)

    /** Records a complete answer to [request]; returns its parts that were suspect, by the address of the keeper that reported them. */
    fun recordAnswer(request: ForwardedRequest): Map<String, List<AnsweredPart>> {
        val exonerated = evidence.recordAnswer(request.parts.shared, clock.nowMs(), request.parts.last)
        if (exonerated.isNotEmpty()) update()
        return exonerated.mapValues { (_, parts) -> parts.map { AnsweredPart(it, ageMs = 0) } }
    }

    /** Decides whether [request] may be sent; of all [gateways], one at a time sends a probe. */
    fun admit(
        request: ForwardedRequest,
        gateways: Set<String>,
    ): Admission =
        when (val verdict = evidence.verdict(request.parts.suspectable)) {
            PartVerdict.Sound -> Admission.Admitted
            is PartVerdict.Suspect -> Admission.Confined(verdict.part, probe = false)
            is PartVerdict.Quarantined -> {
                val leftMs = verdict.probeMs - clock.nowMs()
                // The turn passes on, since a gateway may receive no request with the part.
                val turn = -leftMs / PROBE_TURN_MS
                val prober = Rendezvous.order("${verdict.part}/${verdict.crashes}/$turn", gateways) { it }.first()
                when {
                    leftMs > 0 -> Admission.Refused(leftMs)
                    prober != gateway || verdict.part in probes -> Admission.Refused(PROBE_DURATION_MS)
                    else -> Admission.Confined(verdict.part, probe = true)
                }
            }
        }

    /** Whether [request] is known to end its target. */
    fun isQuarantined(request: ForwardedRequest): Boolean = request.parts.suspectable.any { it in quarantined }

    /** Whether a target ended under requests with a part of [request]. */
    fun isSuspect(request: ForwardedRequest): Boolean = evidence.verdict(request.parts.suspectable) != PartVerdict.Sound

    fun beginProbe(part: Long) {
        probes += part
    }

    fun endProbe(part: Long) {
        probes -= part
    }

    private fun update() {
        val before = quarantined
        quarantined = evidence.quarantined
        (quarantined - before).forEach { log("prompt part quarantined; its requests are refused", it) }
        (before - quarantined).forEach { log("prompt part released", it) }
        if ((quarantined - before).isNotEmpty()) onQuarantined()
    }

    private fun log(
        message: String,
        part: Long,
    ) {
        val crashes = (evidence.verdict(listOf(part)) as? PartVerdict.Quarantined)?.crashes
        EventLog.warn(message, LogFields(extra = mapOf("part" to part.toULong().toString(HEXADECIMAL), "crashes" to crashes?.toString())))
    }

    private companion object {
        /** An engine that ends under a request does so when it begins to answer; one that ends later had another cause. */
        const val ANSWER_BEGINNING_MS = 1_000L

        /** Time within which a probe has usually ended, and for which one gateway may send probes. */
        const val PROBE_DURATION_MS = 1_000L
        const val PROBE_TURN_MS = 10_000L

        const val HEXADECIMAL = 16
    }
}
