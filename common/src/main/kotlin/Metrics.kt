package org.almondjunction.common

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Counters, timers and gauges of one process, exported as Prometheus text. */
public class Metrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val counters = ConcurrentHashMap<Pair<String, String>, Counter>()
    private val timers = ConcurrentHashMap<String, Timer>()

    /** Adds [amount] to the counter [name]; [reason] is the value of its label `reason`. */
    public fun count(
        name: MetricName,
        reason: String = "none",
        amount: Double = 1.0,
    ) {
        counters
            .computeIfAbsent(
                name.meterName to reason,
            ) { registry.counter("almondjunction.${name.meterName}", "reason", reason) }
            .increment(amount)
    }

    /** Returns the sum of the counter [name] over all reasons. */
    public fun total(name: MetricName): Double = counters.filterKeys { it.first == name.meterName }.values.sumOf { it.count() }

    /** Records [durationMs] in the histogram [name]. */
    public fun record(
        name: MetricName,
        durationMs: Long,
    ) {
        timers
            .computeIfAbsent(name.meterName) { Timer.builder("almondjunction.$it").publishPercentileHistogram().register(registry) }
            .record(durationMs, TimeUnit.MILLISECONDS)
    }

    /** Registers a gauge that reads [value] at each export. */
    public fun gauge(
        name: MetricName,
        value: () -> Number,
    ) {
        registry.gauge("almondjunction.${name.meterName}", this) { value().toDouble() }
    }

    /** Returns all metrics in the Prometheus text format. */
    public fun export(): String = registry.scrape()
}

/**
 * Names of all metrics.
 *
 * @property meterName name of the Micrometer meter without the prefix `almondjunction.`
 */
public enum class MetricName(
    public val meterName: String,
) {
    REQUESTS("requests"),
    REFUSALS("refusals"),
    UNKNOWN_OUTCOMES("unknown.outcomes"),
    RETRIES("retries"),
    TARGET_SIGNALS("target.signals"),
    HEDGED_SENDS("hedged.sends"),
    HEDGES_WON("hedges.won"),
    HEDGES_WITHHELD("hedges.withheld"),
    RECONNECTIONS("reconnections"),
    PROTOCOL_ERRORS("protocol.errors"),
    UNEXPECTED_ERRORS("unexpected.errors"),
    PLATFORM_CALLS("platform.calls"),
    PLATFORM_FAILURES("platform.failures"),
    CROSS_REGION_BYTES("cross.region.bytes"),
    CONTROL_BYTES("control.bytes"),
    ORDERS("orders"),
    TIME_TO_FIRST_TOKEN("time.to.first.token"),
    TIME_BETWEEN_TOKENS("time.between.tokens"),
    MEMORY_RESERVED_MB("memory.reserved.megabytes"),
    MODELS_RESIDENT("models.resident"),
    REQUESTS_WAITING("requests.waiting"),
    STATE_SEQUENCE("state.sequence"),
    QUARANTINED_PARTS("quarantined.parts"),
    QUOTA_GRANTED("quota.granted"),
    QUOTA_REFUSED("quota.refused"),
    QUOTA_RETURNED("quota.returned"),
    QUOTA_COORDINATOR_CHANGES("quota.coordinator.changes"),
    CONFIGURATION_PROOF_CHANGES("configuration.proof.changes"),
    CONFIGURATION_PROOF_AGE_MS("configuration.proof.age.milliseconds"),
    STORE_ERA_RISES("store.era.rises"),
}
