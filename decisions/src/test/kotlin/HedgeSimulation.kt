package org.almondjunction.decisions

import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/**
 * Requests to [TARGETS] targets, of which each answers most requests in 40 ms and 2 % in 600 ms, by chance.
 *
 * The targets process [SLOTS] requests at once and queue the others. One gateway sends each request to the target with the fewest, and
 * hedges slow ones with a share of [share].
 */
internal class HedgeSimulation(
    private val share: Double,
    private val requestsPerSecond: Double,
    seed: Long,
) {
    private class Event(
        val atMs: Double,
        val action: () -> Unit,
    )

    private class Attempt(
        val target: Int,
        val request: Request,
    ) {
        var running = false
        var ended = false
    }

    private class Request(
        val startedMs: Double,
    ) {
        val attempts = mutableListOf<Attempt>()
        var answered = false
    }

    private val arrivals = Random(seed)

    /** Separate from the arrivals, so that runs with and without hedged requests see the same arrivals. */
    private val durations = Random(seed + 1)
    private val policy = HedgePolicy(share)
    private val events = PriorityQueue<Event>(compareBy { it.atMs })
    private val queues = List(TARGETS) { ArrayDeque<Attempt>() }
    private val inFlight = IntArray(TARGETS)
    private var nowMs = 0.0
    val latenciesMs = mutableListOf<Double>()
    var firstSends = 0
        private set
    var secondSends = 0
        private set

    /** Serves [count] requests. */
    fun run(count: Int): HedgeSimulation {
        var arrivalMs = 0.0
        repeat(count) {
            arrivalMs -= ln(1 - arrivals.nextDouble()) * MILLISECONDS_PER_SECOND / requestsPerSecond
            at(arrivalMs) { arrive() }
        }
        while (events.isNotEmpty()) events.poll().also { nowMs = it.atMs }.action()
        return this
    }

    /** Returns the latency that [percent] of the requests do not exceed. */
    fun percentileMs(percent: Int): Double = latenciesMs.sorted()[(latenciesMs.size - 1) * percent / 100]

    private fun at(
        atMs: Double,
        action: () -> Unit,
    ) {
        events += Event(atMs, action)
    }

    private fun arrive() {
        val request = Request(nowMs)
        firstSends++
        policy.recordFirstSend(nowMs.toLong())
        send(request, inFlight.indices.minBy { inFlight[it] })
        policy.delayMs(ROUTE)?.let { delayMs -> at(nowMs + delayMs) { hedge(request) } }
    }

    private fun hedge(request: Request) {
        if (request.answered) return
        val other = inFlight.indices.filter { it != request.attempts.single().target }.minBy { inFlight[it] }
        val situation =
            HedgeSituation(
                runsLeft = 1,
                timeLeftMs = 5_000,
                suspect = false,
                elapsedMs = (nowMs - request.startedMs).toLong(),
                expectedMs = 0.0.takeIf { inFlight[other] < SLOTS },
                targets = TARGETS,
                freeTargets = inFlight.count { it < SLOTS },
            )
        if (policy.decide(situation, nowMs.toLong()) { true } != HedgeDecision.Send) return
        secondSends++
        send(request, other)
    }

    private fun send(
        request: Request,
        target: Int,
    ) {
        val attempt = Attempt(target, request).also { request.attempts += it }
        inFlight[target]++
        queues[target].addLast(attempt)
        startNext(target)
    }

    private fun startNext(target: Int) {
        if (queues[target].isEmpty() || inFlight[target] - queues[target].size >= SLOTS) return
        val attempt = queues[target].removeFirst()
        attempt.running = true
        val durationMs = if (durations.nextInt(100) < SLOW_PERCENT) SLOW_MS else FAST_MS
        at(nowMs + durationMs) { if (!attempt.ended) answer(attempt) }
    }

    private fun answer(attempt: Attempt) {
        val request = attempt.request
        request.answered = true
        latenciesMs += nowMs - request.startedMs
        policy.recordDuration(ROUTE, (nowMs - request.startedMs).toLong())
        request.attempts.forEach { end(it) }
    }

    private fun end(attempt: Attempt) {
        attempt.ended = true
        inFlight[attempt.target]--
        if (!attempt.running) queues[attempt.target] -= attempt
        startNext(attempt.target)
    }

    companion object {
        const val TARGETS = 6
        const val SLOTS = 4
        private const val ROUTE = "route"
        private const val FAST_MS = 40.0
        private const val SLOW_MS = 600.0
        private const val SLOW_PERCENT = 2
        private const val MILLISECONDS_PER_SECOND = 1_000.0
    }
}
