package org.almondjunction.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.almondjunction.common.Outcome
import org.almondjunction.common.RefusalReason
import org.almondjunction.common.UnknownReason
import org.almondjunction.decisions.IdempotencyRecord
import org.almondjunction.decisions.RecordedAnswer
import org.almondjunction.decisions.StoreCall
import org.almondjunction.decisions.StoreKeys
import org.almondjunction.decisions.StoreReply
import org.almondjunction.objectstore.ObjectStore
import java.io.ByteArrayOutputStream
import java.security.MessageDigest

/**
 * Lets a request with an idempotency key run at most once over all entry hosts.
 *
 * The key is recorded in the platform's service before the first attempt. While that is not possible the request is refused.
 */
internal class IdempotencyFilter(
    private val store: ObjectStore,
    private val drain: DrainState,
    private val scope: CoroutineScope,
) : RequestFilter {
    override suspend fun handle(
        exchange: Exchange,
        answer: AnswerWriter,
        next: suspend (Exchange, AnswerWriter) -> Outcome,
    ): Outcome {
        val idempotencyKey = exchange.idempotencyKey ?: return next(exchange, answer)
        val key = StoreKeys.idempotencyRecord(digest("${exchange.target}\u0000$idempotencyKey".encodeToByteArray()))
        val record =
            IdempotencyRecord(
                requestDigest = digest("${exchange.method} ${exchange.path}\n".encodeToByteArray() + exchange.body),
                exchange.id,
            )
        return when (val claim = claim(key, record)) {
            is Claim.Won -> runOnce(key, claim, record, exchange, answer, next)
            is Claim.Earlier -> replay(claim.record, record, answer)
            Claim.Unavailable -> Outcome.NotRun(RefusalReason.IDEMPOTENCY_STORE_UNAVAILABLE)
        }
    }

    private sealed class Claim {
        data class Won(
            val version: Long,
        ) : Claim()

        data class Earlier(
            val record: IdempotencyRecord,
        ) : Claim()

        data object Unavailable : Claim()
    }

    private suspend fun claim(
        key: String,
        record: IdempotencyRecord,
    ): Claim {
        val created = store.call(StoreCall.Create(key, encode(record)))
        if (created is StoreReply.Written) return Claim.Won(created.version)
        val found = store.call(StoreCall.Read(key)) as? StoreReply.Found ?: return Claim.Unavailable
        val existing = Json.decodeFromString<IdempotencyRecord>(found.value)
        return when {
            existing.requestId == record.requestId && existing.answer == null && !existing.notRun -> Claim.Won(found.version)
            existing.notRun && existing.requestDigest == record.requestDigest -> takeOver(key, record, found.version)
            else -> Claim.Earlier(existing)
        }
    }

    private suspend fun takeOver(
        key: String,
        record: IdempotencyRecord,
        version: Long,
    ): Claim {
        val reply = store.call(StoreCall.Replace(key, encode(record), version))
        return if (reply is StoreReply.Written) Claim.Won(reply.version) else Claim.Unavailable
    }

    private suspend fun runOnce(
        key: String,
        claim: Claim.Won,
        record: IdempotencyRecord,
        exchange: Exchange,
        answer: AnswerWriter,
        next: suspend (Exchange, AnswerWriter) -> Outcome,
    ): Outcome {
        val recorder = RecordingWriter(answer)
        val outcome = next(exchange, recorder)
        val ended =
            when (outcome) {
                Outcome.Served -> record.copy(answer = recorder.recorded())
                is Outcome.NotRun -> record.copy(notRun = true)
                is Outcome.Unknown -> return outcome
            }
        if (ended.answer != null || ended.notRun) keepMeanwhile(key, ended, claim.version)
        return outcome
    }

    /** Puts [record] in place without holding up the caller; a stop waits for it from now on. */
    private fun keepMeanwhile(
        key: String,
        record: IdempotencyRecord,
        version: Long,
    ) = scope.launch(start = CoroutineStart.UNDISPATCHED) { drain.during { keep(key, record, version) } }

    private suspend fun keep(
        key: String,
        record: IdempotencyRecord,
        version: Long,
    ) {
        repeat(KEEP_TRIES) {
            if (store.call(StoreCall.Replace(key, encode(record), version)) != StoreReply.Lost) return
            delay(KEEP_DELAY_MS)
        }
    }

    private suspend fun replay(
        existing: IdempotencyRecord,
        record: IdempotencyRecord,
        answer: AnswerWriter,
    ): Outcome {
        if (existing.requestDigest != record.requestDigest) return Outcome.NotRun(RefusalReason.IDEMPOTENCY_KEY_REUSED)
        val recorded = existing.answer ?: return Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT)
        answer.head(recorded.status, recorded.contentType)
        answer.write(recorded.body.encodeToByteArray())
        return Outcome.Served
    }

    private fun encode(record: IdempotencyRecord) = Json.encodeToString(IdempotencyRecord.serializer(), record)

    private fun digest(bytes: ByteArray): String =
        MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { byte -> "%02x".format(byte) }

    /** Passes an answer on and keeps a copy of it, unless it is too large. */
    private class RecordingWriter(
        private val answer: AnswerWriter,
    ) : AnswerWriter {
        private val copy = ByteArrayOutputStream()
        private var status = 0
        private var contentType: String? = null

        override suspend fun head(
            status: Int,
            contentType: String?,
        ) {
            this.status = status
            this.contentType = contentType
            answer.head(status, contentType)
        }

        override suspend fun write(bytes: ByteArray) {
            if (copy.size() <= MAXIMUM_RECORDED_BYTES) copy.write(bytes)
            answer.write(bytes)
        }

        fun recorded(): RecordedAnswer? =
            RecordedAnswer(status, contentType, copy.toString(Charsets.UTF_8)).takeIf { copy.size() <= MAXIMUM_RECORDED_BYTES }
    }

    private companion object {
        const val MAXIMUM_RECORDED_BYTES = 512 * 1024
        const val KEEP_TRIES = 20
        const val KEEP_DELAY_MS = 500L
    }
}
