package org.almondjunction.network

import kotlinx.coroutines.runBlocking
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class BodyReaderTest {
    // Guards against a body in tiny chunks that exhausts the heap of the process, although its size is below the limit.
    @Test
    fun `a body in parts of one byte takes little more memory than its size`() {
        val command =
            listOf(
                "${System.getProperty("java.home")}/bin/java",
                "-Xmx${SmallHeap.MAXIMUM_HEAP_MB}m",
                "-cp",
                System.getProperty("java.class.path"),
                SmallHeap::class.java.name,
            )
        val process = ProcessBuilder(command).redirectErrorStream(true).start()
        val output = process.inputStream.readAllBytes().decodeToString()
        assertEquals("${SmallHeap.BODY_BYTES}", output.trim())
    }

    @Test
    fun `a body is the same however it is split, and its memory is reserved`() {
        val random = Random(7)
        val randomSizes = listOf(1, 2, 600, 4_096, 100_000).map { maximum -> List(200) { random.nextInt(1, maximum + 1) } }
        // The last part begins in an array with room for a part of it, and its rest needs an array of its own size.
        val partlyFitting = listOf(600, 400, 1_000)
        for (sizes in randomSizes + listOf(partlyFitting)) {
            val parts = sizes.map { random.nextBytes(it) }
            val sizeBytes = parts.sumOf { it.size }
            val budget = ByteBudget(Long.MAX_VALUE)
            val read = read(parts, sizeBytes.toLong(), budget)
            assertContentEquals(parts.reduce { joined, part -> joined + part }, assertIs<BodyResult.Read>(read).bytes)
            val reservedBytes = budget.reservedBytes
            assertTrue(reservedBytes in sizeBytes..2L * sizeBytes + 512, "$reservedBytes reserved for $sizeBytes")
        }
    }

    @Test
    fun `a body beyond a limit holds no memory`() {
        val parts = List(100) { ByteArray(10) }
        val cases =
            listOf(
                Triple(1_000L, 2_512L, "Read"),
                Triple(999L, 2_512L, "TooLarge"),
                Triple(1_000L, 999L, "BudgetExceeded"),
            )
        for ((maximumBytes, budgetBytes, expected) in cases) {
            val budget = ByteBudget(budgetBytes)
            val result = read(parts, maximumBytes, budget)
            assertEquals(expected, result::class.simpleName)
            assertEquals(result is BodyResult.Read, budget.reservedBytes > 0, expected)
        }
    }

    @Test
    fun `an empty body needs no memory`() {
        assertEquals(0, assertIs<BodyResult.Read>(read(emptyList(), maximumBytes = 0, ByteBudget(0))).bytes.size)
    }

    private fun read(
        parts: List<ByteArray>,
        maximumBytes: Long,
        budget: ByteBudget,
    ): BodyResult {
        val left = ArrayDeque(parts)
        val reader = BodyReader { left.removeFirstOrNull()?.let { BodyPart.Data(it) } ?: BodyPart.Complete }
        return runBlocking { reader.readAll(maximumBytes, budget.newReservation()) }
    }
}
