package org.almondjunction.gateway

import org.almondjunction.common.EventLog
import org.almondjunction.common.HostClock
import org.almondjunction.common.HostTime
import org.almondjunction.common.LogFields
import org.almondjunction.common.MetricName
import org.almondjunction.common.Metrics
import org.almondjunction.common.SystemHostClock
import org.almondjunction.decisions.ApiKeyLimits

/** When the configuration in force was last proved to be the newest, and whether that is recent enough to accept API keys. */
internal class ConfigurationProof(
    private val clock: HostClock = SystemHostClock,
    private val metrics: Metrics = Metrics(),
    revocationMs: Long? = null,
) {
    private var provedAt: HostTime? = null
    private var reportedFresh = false

    /** Time after which a removed key must no longer be accepted; null if no such limit applies. */
    var revocationMs: Long? = revocationMs
        set(value) {
            if (value == field) return
            field = value
            limits = ApiKeyLimits(value)
        }

    var limits = ApiKeyLimits(revocationMs)
        private set

    /** Age by the clock that advanced further; null before the first proof. */
    val ageMs: Long? get() = provedAt?.longestMsUntil(clock.now())

    val fresh: Boolean get() = limits.isFresh(ageMs)

    /** Wait of the next watch of the configuration; null if it must be listed instead. */
    val nextWatchMs: Long? get() = limits.nextWatchMs(ageMs)

    /** Records a proof; returns whether requests may have waited for it. */
    fun confirm(at: HostTime): Boolean {
        val awaited = !limits.mayRefuseUnknownKeys(ageMs)
        provedAt = at
        reportChanges()
        return awaited
    }

    /** Logs whether the proof became stale or fresh since the last call; must be called periodically. */
    fun reportChanges() {
        if (limits.staleMs == null || provedAt == null || fresh == reportedFresh) return
        reportedFresh = fresh
        val belief = if (reportedFresh) "fresh" else "stale"
        metrics.count(MetricName.CONFIGURATION_PROOF_CHANGES, belief)
        EventLog.info("configuration proof is $belief", LogFields(extra = mapOf("ageMs" to ageMs.toString())))
    }
}
