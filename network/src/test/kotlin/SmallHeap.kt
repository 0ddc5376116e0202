package org.almondjunction.network

import kotlinx.coroutines.runBlocking

/** Reads a body in parts of one byte; run in a process whose heap is a few times the size of the body. */
internal object SmallHeap {
    const val MAXIMUM_HEAP_MB = 32
    const val BODY_BYTES = 8 * 1024 * 1024

    @JvmStatic
    fun main(arguments: Array<String>) {
        var left = BODY_BYTES
        val reader = BodyReader { if (left-- > 0) BodyPart.Data(ByteArray(1)) else BodyPart.Complete }
        val body = runBlocking { reader.readAll(BODY_BYTES.toLong()) }
        println((body as? BodyResult.Read)?.bytes?.size)
    }
}
