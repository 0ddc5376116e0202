package org.almondjunction.decisions

import kotlin.random.Random

/**
 * Plays requests whose last part ends each target that begins to answer them, among sound requests with the same other parts.
 *
 * A gateway sends such a request a second time once the report of the end has arrived; its caller repeats it at other gateways, and its
 * session goes on with the same part in front of a new last one. Gateways learn of an end after [REPORT_DELAY_MS].
 *
 * @param badRequests number of requests whose last part ends targets
 * @param lastPartsReported whether last parts are evidence
 */
internal class LastPartSimulation(
    private val random: Random,
    private val badRequests: Int,
    private val lastPartsReported: Boolean = true,
) {
    private class Request(
        val parts: List<Long>,
        val last: SuspectPart,
        val untilMs: Long,
    )

    private class Report(
        val atMs: Long,
        val target: Int,
    )

    private val evidence = List(GATEWAYS) { CrashEvidence() }
    private val crashes = List(TARGETS) { mutableListOf<TargetCrash>() }
    private val running = List(TARGETS) { mutableListOf<Request>() }
    private val backMs = LongArray(TARGETS)
    private val reports = ArrayDeque<Report>()
    private val sendMs = LongArray(badRequests) { it * BAD_REQUEST_INTERVAL_MS }
    private val sends = IntArray(badRequests)
    private var nextLastPart = FIRST_LAST_PART

    /** Ends of targets by the request that caused them, without those that probes caused. */
    val ends = IntArray(badRequests)
    var refusedSoundRequests = 0
        private set

    fun run(durationMs: Long) {
        for (nowMs in 0L..durationMs step STEP_MS) {
            while (reports.isNotEmpty() && reports.first().atMs <= nowMs) deliver(reports.removeFirst().target)
            running.forEach { requests -> completeAnswers(requests, nowMs) }
            sendSound(nowMs)
            (0 until badRequests).filter { sendMs[it] <= nowMs }.forEach { sendBad(it, nowMs) }
        }
    }

    private fun deliver(target: Int): Unit = evidence.forEach { it.replace("$target", crashes[target]) }

    private fun completeAnswers(
        requests: MutableList<Request>,
        nowMs: Long,
    ) {
        val complete = requests.filter { it.untilMs <= nowMs }
        complete.forEach { request ->
            evidence.forEach { it.recordAnswer(request.parts, nowMs, request.last.takeIf { lastPartsReported }) }
        }
        requests -= complete.toSet()
    }

    private fun readyTarget(nowMs: Long) = (0 until TARGETS).filter { backMs[it] <= nowMs }.randomOrNull(random)

    private fun sendSound(nowMs: Long) {
        val target = readyTarget(nowMs) ?: return
        val parts = listOf(FIRST_PART, FIRST_SESSION + random.nextLong(badRequests.toLong()))
        val request = Request(parts, lastPart(parts.size), nowMs + random.nextLong(MINIMUM_ANSWER_MS, MAXIMUM_ANSWER_MS))
        if (evidence.random(random).verdict(parts + request.last.part) is PartVerdict.Quarantined) {
            refusedSoundRequests++
        } else {
            running[target] +=
                request
        }
    }

    private fun lastPart(position: Int) = SuspectPart(nextLastPart++, position, last = true)

    /** The first send, the gateway's second attempt, repeats of the caller, and from [SESSION_GOES_ON] on the next request of the session. */
    private fun sendBad(
        number: Int,
        nowMs: Long,
    ) {
        val bad = FIRST_BAD_PART + number
        val shared = listOf(FIRST_PART, FIRST_SESSION + number)
        val goesOn = ++sends[number] > SESSION_GOES_ON
        val parts = if (goesOn) shared + bad else shared
        val last = if (goesOn) lastPart(parts.size) else SuspectPart(bad, parts.size, last = true)
        sendMs[number] = nowMs + random.nextLong(REPORT_DELAY_MS, MAXIMUM_REPEAT_MS)
        val target = readyTarget(nowMs) ?: return
        val verdict = evidence.random(random).verdict(parts + last.part)
        if (verdict is PartVerdict.Quarantined && nowMs < verdict.probeMs) return
        if (verdict !is PartVerdict.Quarantined) ends[number]++
        end(target, Request(parts, last, Long.MAX_VALUE), nowMs)
    }

    private fun end(
        target: Int,
        bad: Request,
        nowMs: Long,
    ) {
        val broken = running[target] + bad
        running[target].clear()
        backMs[target] = nowMs + RESTART_MS
        val known = evidence.random(random)
        val suspects = known.suspects(broken.flatMap { it.parts }.distinct(), nowMs)
        val lastSuspects = if (lastPartsReported) broken.flatMap { known.suspects(emptyList(), nowMs, it.last) } else emptyList()
        crashes[target] += TargetCrash(nowMs, nowMs, suspects + lastSuspects)
        reports += Report(nowMs + REPORT_DELAY_MS, target)
    }

    private companion object {
        const val TARGETS = 8
        const val GATEWAYS = 5
        const val FIRST_PART = 1L
        const val FIRST_SESSION = 100L
        const val FIRST_BAD_PART = 10_000L
        const val FIRST_LAST_PART = 1_000_000L
        const val STEP_MS = 100L

        /** Sends after which the session goes on with the part in front of a new last one. */
        const val SESSION_GOES_ON = 1
        const val BAD_REQUEST_INTERVAL_MS = 3_000L

        /** Time within which a keeper finds that its engine has ended and gateways have its report. */
        const val REPORT_DELAY_MS = 700L
        const val MAXIMUM_REPEAT_MS = 3_000L
        const val RESTART_MS = 3_000L
        const val MINIMUM_ANSWER_MS = 300L
        const val MAXIMUM_ANSWER_MS = 2_000L
    }
}
