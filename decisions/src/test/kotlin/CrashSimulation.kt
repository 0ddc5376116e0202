package org.almondjunction.decisions

import kotlin.random.Random

/**
 * Plays requests on targets that end by chance and, with [badPlace], under requests with a part at that place of the prompt.
 *
 * Gateways learn of an end after [REPORT_DELAY_MS]. Half of the sound callers share their parts with others; the rest are alone.
 *
 * @param chanceEndMs mean time between ends by chance
 * @param endsAtOnce number of targets that end together by chance
 * @param callerRetries how often a sound caller sends a request again that its target broke off
 */
internal class CrashSimulation(
    private val random: Random,
    private val badPlace: Int?,
    private val chanceEndMs: Long,
    private val endsAtOnce: Int,
    private val callerRetries: Int = 0,
) {
    private class Request(
        val parts: List<Long>,
        val last: SuspectPart,
        val sends: Int = 0,
    )

    private class Running(
        val request: Request,
        val untilMs: Long,
    )

    private class Report(
        val atMs: Long,
        val target: Int,
    )

    private val evidence = List(GATEWAYS) { CrashEvidence() }
    private val crashes = List(TARGETS) { mutableListOf<TargetCrash>() }
    private val running = List(TARGETS) { mutableListOf<Running>() }
    private val backMs = LongArray(TARGETS)
    private val reports = ArrayDeque<Report>()
    private val repeated = ArrayDeque<Request>()
    private var nextLastPart = FIRST_LAST_PART
    private var badCrashes = 0
    private var fifthCrashMs: Long? = null
    private var nextChanceEndMs = chanceEndMs

    /** Requests without the part, and how many of them were refused. */
    var soundRequests = 0
        private set
    var refusedSoundRequests = 0
        private set

    /** Requests with the part that reached a target within [QUIET_MS] after all gateways could know of the fifth end under them. */
    var lateArrivals = 0
        private set

    fun run(durationMs: Long) {
        for (nowMs in 0L..durationMs step STEP_MS) {
            deliverReports(nowMs)
            completeAnswers(nowMs)
            endByChance(nowMs)
            repeat(repeated.size) { send(repeated.removeFirst(), nowMs) }
            request(nowMs)
        }
    }

    private fun deliverReports(nowMs: Long) {
        while (reports.isNotEmpty() && reports.first().atMs <= nowMs) {
            val target = reports.removeFirst().target
            evidence.forEach { it.replace("$target", crashes[target].takeLast(MAXIMUM_CRASHES)) }
        }
    }

    private fun completeAnswers(nowMs: Long) {
        for (requests in running) {
            val complete = requests.filter { it.untilMs <= nowMs }
            complete.forEach { request -> evidence.forEach { it.recordAnswer(request.request.parts, nowMs, request.request.last) } }
            requests -= complete.toSet()
        }
    }

    private fun endByChance(nowMs: Long) {
        if (nowMs < nextChanceEndMs) return
        repeat(endsAtOnce) { end(random.nextInt(TARGETS), nowMs) }
        nextChanceEndMs += random.nextLong(2 * chanceEndMs) + 1
    }

    private fun end(
        target: Int,
        nowMs: Long,
    ) {
        val broken = running[target].map { it.request }
        running[target].clear()
        backMs[target] = nowMs + RESTART_MS
        val suspects = evidence.first().suspects(broken.flatMap { it.parts }.distinct(), nowMs)
        val lastSuspects = broken.flatMap { evidence.first().suspects(emptyList(), nowMs, it.last) }
        crashes[target] += TargetCrash(nowMs, nowMs, suspects + lastSuspects)
        repeated += broken.filter { BAD_PART !in it.parts && it.sends < callerRetries }.map { Request(it.parts, it.last, it.sends + 1) }
        reports += Report(nowMs + REPORT_DELAY_MS, target)
    }

    private fun request(nowMs: Long) {
        val bad = badPlace != null && random.nextInt(BAD_REQUEST_INTERVAL) == 0
        val parts = parts(bad)
        if (!bad) soundRequests++
        send(Request(parts, SuspectPart(nextLastPart++, parts.size, last = true)), nowMs)
    }

    private fun send(
        request: Request,
        nowMs: Long,
    ) {
        val bad = BAD_PART in request.parts
        val target = (0 until TARGETS).filter { backMs[it] <= nowMs }.randomOrNull(random) ?: return
        val verdict = evidence.random(random).verdict(request.parts + request.last.part)
        when {
            verdict is PartVerdict.Quarantined && nowMs < verdict.probeMs -> if (!bad) refusedSoundRequests++
            bad -> crash(target, request, nowMs)
            else -> running[target] += Running(request, nowMs + random.nextLong(MINIMUM_ANSWER_MS, MAXIMUM_ANSWER_MS))
        }
    }

    private fun parts(bad: Boolean): List<Long> {
        val caller = random.nextLong(CALLERS)
        val session = if (caller < CALLERS / 2) SHARED_SESSIONS + caller % 10 else OWN_SESSIONS + caller
        val parts = mutableListOf(caller % 4, session)
        if (bad && badPlace != null) parts.add(badPlace, BAD_PART)
        return parts
    }

    private fun crash(
        target: Int,
        request: Request,
        nowMs: Long,
    ) {
        val knownMs = fifthCrashMs?.let { it + CONTACT_MS }
        if (knownMs != null && nowMs > knownMs && nowMs < knownMs + QUIET_MS) lateArrivals++
        running[target] += Running(request, Long.MAX_VALUE)
        end(target, nowMs)
        if (++badCrashes == CRASHES_UNTIL_KNOWN) fifthCrashMs = nowMs
    }

    private companion object {
        const val TARGETS = 8
        const val GATEWAYS = 3
        const val CALLERS = 200L
        const val BAD_REQUEST_INTERVAL = 10
        const val BAD_PART = -1L
        const val SHARED_SESSIONS = 100L
        const val OWN_SESSIONS = 1_000L
        const val FIRST_LAST_PART = 1_000_000L
        const val STEP_MS = 200L
        const val REPORT_DELAY_MS = 1_000L
        const val RESTART_MS = 3_000L
        const val MINIMUM_ANSWER_MS = 300L
        const val MAXIMUM_ANSWER_MS = 3_000L

        /** Ends that a keeper keeps. */
        const val MAXIMUM_CRASHES = 32

        /** Time within which gateways must know what one of them knows, and the ends after which they must, from the users' rules. */
        const val CONTACT_MS = 4_000L
        const val CRASHES_UNTIL_KNOWN = 5
        const val QUIET_MS = 900_000L
    }
}
