package org.almondjunction.standins

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import java.io.ByteArrayOutputStream

/** Text that the stand-in generates for one request; the same request always gets the same text. */
public class CompletionText(
    private val id: String,
    private val model: String,
    private val chat: Boolean,
    private val tokens: Int,
) {
    /** Number of tokens. */
    public val size: Int get() = tokens

    /** Returns the server-sent event that carries token [index], 0 until [size]. */
    public fun event(index: Int): String {
        val choice = if (chat) """{"index":0,"delta":{"content":"${token(index)}"}}""" else """{"index":0,"text":"${token(index)}"}"""
        return "data: {\"id\":\"$id\",\"model\":\"$model\",\"choices\":[$choice]}\n\n"
    }

    /** Returns the JSON body that answers a request without streaming. */
    public fun document(): String {
        val text = (0 until tokens).joinToString("") { token(it) }
        val choice = if (chat) """{"index":0,"message":{"role":"assistant","content":"$text"}}""" else """{"index":0,"text":"$text"}"""
        return """{"id":"$id","model":"$model","choices":[$choice]}"""
    }

    private fun token(index: Int) = "$id-$index "

    public companion object {
        /** Last event of a stream. */
        public const val TERMINATOR: String = "data: [DONE]\n\n"
    }
}

/** Answer that is being generated for one request; all bytes are kept, so that it can be read from any byte offset, also after its end. */
internal class Generation(
    private val text: CompletionText,
    val stream: Boolean,
) {
    private val bytes = ByteArrayOutputStream()
    private val length = MutableStateFlow(0)

    @Volatile
    var ended = false
        private set

    @Volatile
    private var started = false

    suspend fun run(
        tokenMs: Long,
        hanging: () -> Boolean,
    ) {
        if (started) return
        started = true
        repeat(text.size) { index ->
            while (hanging()) delay(HANG_CHECK_MS)
            if (ended) return
            if (tokenMs > 0) delay(tokenMs)
            if (stream) append(text.event(index))
        }
        append(if (stream) CompletionText.TERMINATOR else text.document(), last = true)
    }

    fun cancel() {
        ended = true
        length.value = -1
    }

    private fun append(
        part: String,
        last: Boolean = false,
    ) {
        synchronized(bytes) { bytes.write(part.encodeToByteArray()) }
        if (last) ended = true
        length.value = bytes.size()
    }

    fun parts(offset: Int): Flow<ByteArray> =
        flow {
            var position = offset
            while (true) {
                val wasEnded = ended
                val part =
                    synchronized(bytes) {
                        bytes.toByteArray().let {
                            if (position <
                                it.size
                            ) {
                                it.copyOfRange(position, it.size)
                            } else {
                                null
                            }
                        }
                    }
                if (part != null) {
                    emit(part)
                    position += part.size
                } else if (wasEnded) {
                    return@flow
                } else {
                    length.first { it < 0 || it > position }
                }
            }
        }

    private companion object {
        const val HANG_CHECK_MS = 20L
    }
}
