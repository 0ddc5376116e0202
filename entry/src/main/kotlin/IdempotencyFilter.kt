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
 * Runs a request with an idempotency key at most once across all entry hosts.
 *
 * The key is recorded in the object store before the first attempt. The request is refused while the key cannot be recorded.
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
            is Claim.Acquired -> runOnce(key, claim, record, exchange, answer, next)
            is Claim.Existing -> replay(claim.record, record, answer)
            Claim.Unavailable -> Outcome.NotRun(RefusalReason.IDEMPOTENCY_STORE_UNAVAILABLE)
        }
    }

    private sealed class Claim {
        data class Acquired(
            val version: Long,
        ) : Claim()

        data class Existing(
            val record: IdempotencyRecord,
        ) : Claim()

        data object Unavailable : Claim()
    }

    private suspend fun claim(
        key: String,
        record: IdempotencyRecord,
    ): Claim {
        val created = store.call(StoreCall.Create(key, encode(record)))
        if (created is StoreReply.Written) return Claim.Acquired(created.version)
        val found = store.call(StoreCall.Read(key)) as? StoreReply.Found ?: return Claim.Unavailable
        val existing = Json.decodeFromString<IdempotencyRecord>(found.value)
        return when {
            existing.requestId == record.requestId && existing.answer == null && !existing.notRun -> Claim.Acquired(found.version)
            existing.notRun && existing.requestDigest == record.requestDigest -> takeOver(key, record, found.version)
            else -> Claim.Existing(existing)
        }
    }

    private suspend fun takeOver(
        key: String,
        record: IdempotencyRecord,
        version: Long,
    ): Claim {
        val reply = store.call(StoreCall.Replace(key, encode(record), version))
        return if (reply is StoreReply.Written) Claim.Acquired(reply.version) else Claim.Unavailable
    }

    private suspend fun runOnce(
        key: String,
        claim: Claim.Acquired,
        record: IdempotencyRecord,
        exchange: Exchange,
        answer: AnswerWriter,
        next: suspend (Exchange, AnswerWriter) -> Outcome,
    ): Outcome {
        val recorder = RecordingWriter(answer)
        val outcome = next(exchange, recorder)
        val concluded =
            when (outcome) {
                Outcome.Served -> record.copy(answer = recorder.recorded())
                is Outcome.NotRun -> record.copy(notRun = true)
                is Outcome.Unknown -> return outcome
            }
        if (concluded.answer != null || concluded.notRun) recordInBackground(key, concluded, claim.version)
        return outcome
    }

    /** Writes [record] without delaying the answer; a graceful stop waits for the write. */
    private fun recordInBackground(
        key: String,
        record: IdempotencyRecord,
        version: Long,
    ) = scope.launch(start = CoroutineStart.UNDISPATCHED) { drain.track { recordOutcome(key, record, version) } }

    private suspend fun recordOutcome(
        key: String,
        record: IdempotencyRecord,
        version: Long,
    ) {
        repeat(RECORD_ATTEMPTS) {
            if (store.call(StoreCall.Replace(key, encode(record), version)) != StoreReply.Lost) return
            delay(RECORD_RETRY_DELAY_MS)
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

    /** Forwards an answer and records a copy of it, unless it exceeds [MAXIMUM_RECORDED_BYTES]. */
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
        const val RECORD_ATTEMPTS = 20
        const val RECORD_RETRY_DELAY_MS = 500L
    }
}
