package org.almondjunction.decisions

import org.almondjunction.common.HostTime

/**
 * One keeper's view of the lease of one shard: as candidate or as holder.
 *
 * It makes no calls itself: [next] returns the call that is due, and [receive] takes its answer. Only one call may be in progress.
 *
 * @param holder name of this host in the lease
 * @param incarnation number of this process, different from that of any earlier process of the host
 */
public class QuotaLease(
    private val holder: String,
    private val incarnation: Long,
) {
    private class Sight(
        val record: LeaseRecord?,
        val revision: Long?,
        val sinceMs: Long,
    )

    private class Write(
        val record: LeaseRecord,
        val requested: HostTime,
    )

    /** Highest era that any answer of the store named. */
    private var era: Long? = null

    /** What a candidate has seen since when; null before it has seen anything in this era. */
    private var sight: Sight? = null

    /** Start of the lease that this keeper holds, and its record; null while it is a candidate. */
    private var held: Write? = null
    private var heldRevision = 0L

    /** Write without an answer. */
    private var unanswered: Write? = null
    private var writes = 0L
    private var call: LeaseCall? = null
    private var issued: HostTime? = null

    /** Identity of the lease that this keeper holds at [now], the same over its renewals; null if it holds none. */
    public fun heldId(now: HostTime): Long? =
        held
            ?.takeIf { it.requested.longestMsUntil(now) < DURATION_MS }
            ?.let { StableHash.of(holder, incarnation.toString(), it.record.term.toString(), era.toString()) }

    /** Record of the lease that this keeper has last read; null if it has read none or holds the lease itself. */
    public val observed: LeaseRecord? get() = sight?.record

    /** Host that holds the lease, as far as this keeper has seen, if it is another one. */
    public val other: String?
        get() = observed?.holder?.takeIf { held == null && it != holder }

    /** Returns the call that is due at [now]; null if none is. Its answer must be given to [receive]. */
    public fun next(now: HostTime): LeaseCall? {
        if (held != null && heldId(now) == null) {
            held = null
            sight = null
        }
        if (call != null || !due(now)) return null
        val current = held
        val seen = sight
        val next =
            when {
                unanswered != null -> LeaseCall.Read
                current != null -> write(current.record.term, heldRevision, now)
                seen != null && now.monotonicMs - seen.sinceMs >= DURATION_MS -> write((seen.record?.term ?: 0) + 1, seen.revision, now)
                else -> LeaseCall.Read
            }
        call = next
        issued = now
        return next
    }

    private fun due(now: HostTime): Boolean {
        val sinceCallMs = issued?.longestMsUntil(now) ?: return true
        val requested = held?.requested
        return when {
            unanswered != null -> sinceCallMs >= RETRY_MS
            requested != null -> sinceCallMs >= RETRY_MS && requested.longestMsUntil(now) >= RENEWAL_MS
            else -> sinceCallMs >= OBSERVATION_MS
        }
    }

    private fun write(
        term: Long,
        revision: Long?,
        now: HostTime,
    ): LeaseCall {
        val record = LeaseRecord(holder, incarnation, term, ++writes)
        unanswered = Write(record, now)
        return LeaseCall.Write(record, revision)
    }

    /** Takes the [answer] to the last call at [now]. */
    public fun receive(
        answer: LeaseAnswer,
        now: HostTime,
    ) {
        val answered = call ?: return
        call = null
        val answerEra = answer.era ?: return
        learnEra(answerEra)
        if (answerEra != era) return
        when (answer) {
            is LeaseAnswer.Found -> if (answered is LeaseCall.Write) written(answer) else read(answer.record, answer.revision, now)
            is LeaseAnswer.Missing -> read(null, null, now)
            // The reader of the next call finds out what the lease is now.
            is LeaseAnswer.Conflict -> Unit
            LeaseAnswer.Lost -> Unit
        }
    }

    /** Records that the store is in [seen]; a lease of an earlier era may have been given to another keeper. */
    public fun learnEra(seen: Long) {
        val known = era
        if (known != null && seen <= known) return
        era = seen
        if (known != null) becomeCandidate()
    }

    private fun becomeCandidate() {
        held = null
        sight = null
        unanswered = null
    }

    private fun written(answer: LeaseAnswer.Found) {
        // A write that was issued in an earlier era is forgotten: its condition may have held by chance.
        val write = unanswered?.takeIf { it.record == answer.record } ?: return
        unanswered = null
        held = write
        heldRevision = answer.revision
        sight = null
    }

    private fun read(
        record: LeaseRecord?,
        revision: Long?,
        now: HostTime,
    ) {
        val write = unanswered
        unanswered = null
        val current = held
        when {
            write != null && record == write.record && revision != null -> {
                held = write
                heldRevision = revision
                sight = null
            }
            // A renewal that was thought lost was carried out later; the lease still counts from the last known one.
            current != null && record != null && isOwn(record) && record.term == current.record.term && revision != null ->
                heldRevision = revision
            else -> {
                held = null
                val seen = sight
                if (seen == null || seen.revision != revision || seen.record != record) sight = Sight(record, revision, now.monotonicMs)
            }
        }
    }

    /** Whether this process wrote [record]; incarnations distinguish only processes of one host. */
    private fun isOwn(record: LeaseRecord) = record.holder == holder && record.incarnation == incarnation

    public companion object {
        /** Duration of a lease, and the time for which a candidate must have seen it unchanged. */
        public const val DURATION_MS: Long = 2_000

        /** A holder may miss two renewals. */
        private const val RENEWAL_MS = 600L
        private const val OBSERVATION_MS = 500L
        private const val RETRY_MS = 100L
    }
}
