package org.almondjunction.keeper

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

/** Decoding of frames that another program, an older version or a faulty host may send. */
class MessageChannelTest {
    private val messages =
        listOf(
            KeeperMessage.Greeting("g"),
            KeeperMessage.Usage(listOf(Use("m", "a", 1, 2))),
            KeeperMessage.Status(listOf(HeldModel("m", listOf("a"), 1f, 2, 3)), gateways = listOf("g")),
            KeeperMessage.EngineLoad(1, 2, 3),
        )

    private fun body(message: KeeperMessage) = MessageChannel.encode(message).drop(LENGTH_BYTES).toByteArray()

    @Test
    fun `a message is read as it was written`() = messages.forEach { assertEquals(it, MessageChannel.decode(body(it))) }

    @Test
    fun `invalid bytes are decoded as no message and never throw`() {
        val lengthBeyondTheFrame = "7b7fffffffffffffff"
        val bytesBeyondTheFrame = "5a7fffffff"
        val textBeyondTheFrame = "9f627467" + "7a7fffffff"
        val nested = "81".repeat(50_000)
        listOf("", "ff", "00", lengthBeyondTheFrame, bytesBeyondTheFrame, textBeyondTheFrame, nested).forEach { hexadecimal ->
            val bytes = hexadecimal.chunked(2).map { it.toInt(HEXADECIMAL).toByte() }.toByteArray()
            assertNull(MessageChannel.decode(bytes), hexadecimal.take(40))
        }
    }

    @Test
    fun `a damaged message is decoded as another one or as none and never throws`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(seed = 41, iterations = 2_000), Arb.long()) { seed ->
                val random = Random(seed)
                var bytes = body(messages.random(random))
                repeat(random.nextInt(1, 4)) {
                    when (random.nextInt(3)) {
                        0 -> bytes[random.nextInt(bytes.size)] = random.nextInt().toByte()
                        1 -> bytes = bytes.copyOf(random.nextInt(1, bytes.size + 1))
                        else -> bytes += random.nextBytes(random.nextInt(1, 5))
                    }
                }
                MessageChannel.decode(bytes)
            }
        }

    private companion object {
        const val LENGTH_BYTES = 4
        const val HEXADECIMAL = 16
    }
}
