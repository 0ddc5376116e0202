package org.almondjunction.gateway

import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PromptCacheEstimateTest {
    private data class Case(
        val pattern: String,
        val sent: List<Pair<String, String>>,
        val weights: String,
        val prompt: String,
        val cachedTokens: Long,
    )

    @Test
    fun `leading parts that were sent for the same weights count as cached`() {
        listOf(
            Case("nothing sent", emptyList(), "m", "a:8,b:4", 0),
            Case("the same prompt", listOf("m" to "a:8,b:4"), "m", "a:8,b:4", 12),
            Case("a shared beginning", listOf("m" to "a:8,b:4"), "m", "a:8,c:4", 8),
            Case("the same part after another one", listOf("m" to "a:8,b:4"), "m", "b:4,a:8", 0),
            Case("the same characters in other parts", listOf("m" to "ab:8,c:4"), "m", "a:8,bc:4", 0),
            Case("another model", listOf("m" to "a:8"), "n", "a:8", 0),
            Case("an adapter", listOf("m" to "a:8"), "m/a1", "a:8", 0),
            Case("parts after a malformed one", listOf("m" to "a:8,b,c:2"), "m", "a:8,b,c:2", 8),
            Case("a negative number of tokens", listOf("m" to "a:8,b:-5"), "m", "a:8,b:-5", 8),
            Case("a number of tokens without end", listOf("m" to "a:8,b:99999999999999999999"), "m", "a:8,b:99999999999999999999", 8),
            Case("the oldest prompt leaves", listOf("m" to "a:60", "m" to "b:60"), "m", "a:60", 0),
            Case("the newest prompt stays", listOf("m" to "a:60", "m" to "b:60"), "m", "b:60", 60),
            Case("a prompt with too many parts", listOf("m" to "a:1,b:1,c:1,d:1,e:1"), "m", "a:1,b:1,c:1,d:1,e:1", 4),
            Case("too many parts of several prompts", listOf("m" to "a:1,b:1", "m" to "c:1,d:1", "m" to "e:1"), "m", "c:1,d:1", 2),
        ).forEach { case ->
            val estimate = PromptCacheEstimate(capacityTokens = 100) { 4 }
            case.sent.forEach { (weights, prompt) -> estimate.add(weights, PromptParts.parse(prompt)) }
            assertEquals(case.cachedTokens, estimate.cachedTokens(case.weights, PromptParts.parse(case.prompt)), case.pattern)
            assertTrue(estimate.size <= 4, case.pattern)
        }
    }

    @Test
    fun `the parts of a model and its adapters are removed, and make room`() {
        val estimate = PromptCacheEstimate(capacityTokens = 100) { 4 }
        listOf("m", "m/a1", "mm").forEach { estimate.add(it, PromptParts.parse("a:30")) }
        estimate.remove("m")
        assertEquals(listOf(0L, 0L, 30L), listOf("m", "m/a1", "mm").map { estimate.cachedTokens(it, PromptParts.parse("a:30")) })
        estimate.add("n", PromptParts.parse("b:70"))
        assertEquals(30, estimate.cachedTokens("mm", PromptParts.parse("a:30")))
    }

    // Guards against a gateway whose heap is exhausted by prompts of many parts, since their memory grows with the square of that number.
    @Test
    fun `the memory for a prompt grows in proportion to the number of its parts`() {
        val few = allocatedBytes(1_000)
        val many = allocatedBytes(8_000)
        assertTrue(many < 16 * few, "$few bytes for 1,000 parts, $many bytes for 8,000")
        assertTrue(many < 8_000 * 1_024, "$many bytes for 8,000 parts")
    }

    /** Returns the bytes that reading and adding a prompt of [count] parts allocates. */
    private fun allocatedBytes(count: Int): Long {
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val prompt = (0 until count).joinToString(",") { "%08x:16".format(it) }
        val estimate = PromptCacheEstimate(capacityTokens = Long.MAX_VALUE) { Int.MAX_VALUE }
        val before = threads.getThreadAllocatedBytes(Thread.currentThread().id)
        estimate.add("m", PromptParts.parse(prompt))
        return threads.getThreadAllocatedBytes(Thread.currentThread().id) - before
    }
}
