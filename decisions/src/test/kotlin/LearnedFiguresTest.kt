package org.almondjunction.decisions

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.double
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TargetId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class LearnedFiguresTest {
    private val service = ServiceId("s")
    private val target = TargetId("t")
    private val other = TargetId("o")

    private data class Case(
        val pattern: String,
        val answersMs: List<Double>,
        val ofOtherMs: List<Double> = emptyList(),
        val laterMs: Long = 0,
        val expectedMs: Double,
    )

    @Test
    fun `the work of a plain request is what answers of the target, or of its service, took`() {
        listOf(
            Case("nothing is known", emptyList(), expectedMs = PlainWork.PRIOR_MS),
            Case("too little is known", List(4) { 90.0 }, expectedMs = PlainWork.PRIOR_MS),
            Case("one site", List(9) { 20.0 }, expectedMs = 20.0),
            Case("two of nine waited behind others", List(7) { 20.0 } + List(2) { 900.0 }, expectedMs = 20.0),
            Case("only others of the service have answered", emptyList(), List(9) { 85.0 }, expectedMs = 85.0),
            Case("a little slower than the others", List(9) { 50.0 }, List(15) { 40.0 }, expectedMs = 40.0),
            Case("an engine turns slow", List(9) { 200.0 }, List(15) { 40.0 }, expectedMs = 200.0),
            Case("it was slow long ago", List(9) { 200.0 }, laterMs = 30_000, expectedMs = PlainWork.PRIOR_MS),
            Case("what was before the latest answers is forgotten", List(40) { 40.0 } + List(15) { 10.0 }, expectedMs = 10.0),
            Case("an answer in no time", List(9) { -0.2 }, expectedMs = 1.0),
        ).forEach { case ->
            val work = PlainWork()
            case.answersMs.forEach { work.record(service, target, it, nowMs = 0) }
            case.ofOtherMs.forEach { work.record(service, other, it, nowMs = 0) }
            assertEquals(case.expectedMs, work.requestMs(service, target, case.laterMs), 0.01, case.pattern)
        }
    }

    @Test
    fun `speed and work follow their true values over a factor of four up and down, with one answer in five far off`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 15, iterations = 300), Arb.double(0.25, 4.0), Arb.long()) { factor, seed ->
                val random = Random(seed)
                val reading = ReadingSpeed()
                val work = PlainWork()
                repeat(30) { index ->
                    val far = if (index % 5 == 0) random.nextDouble(5.0, 50.0) else 1.0
                    val tokens = random.nextLong(800, 10_000)
                    val readMs = tokens / (ReadingSpeed.PRIOR_TOKENS_PER_MS * factor)
                    reading.record(service, target, tokens, readMs * far * random.nextDouble(0.95, 1.05), nowMs = index * 100L)
                    work.record(service, target, PlainWork.PRIOR_MS * factor * far * random.nextDouble(0.95, 1.05), index * 100L)
                }
                val speed = reading.tokensPerMs(service, target, nowMs = 3_000)
                assertEquals(1.0, speed / (ReadingSpeed.PRIOR_TOKENS_PER_MS * factor), 0.1, "speed")
                assertEquals(1.0, work.requestMs(service, target, nowMs = 3_000) / (PlainWork.PRIOR_MS * factor), 0.1, "work")
            }
        }

    @Test
    fun `long prompts tell more of the speed than short ones`() {
        val reading = ReadingSpeed()
        repeat(10) { reading.record(service, target, unreadTokens = 600, firstEventMs = 30.0, nowMs = 0) }
        repeat(5) { reading.record(service, target, unreadTokens = 9_000, firstEventMs = 225.0, nowMs = 0) }
        repeat(5) { reading.record(service, target, unreadTokens = 0, firstEventMs = 5.0, nowMs = 0) }
        assertEquals(40.0, reading.tokensPerMs(service, target, nowMs = 0))
    }

    @Test
    fun `the usual length of prompts follows requests`() {
        val reading = ReadingSpeed()
        assertEquals(ReadingSpeed.PRIOR_PROMPT_TOKENS, reading.usualPromptTokens(service))
        repeat(300) { reading.prompt(service, 20_000) }
        assertEquals(20_000.0, reading.usualPromptTokens(service), 10.0)
    }
}
