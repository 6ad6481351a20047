package org.lovagegrade.kernel.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Locale;

/**
 * The metrics of one process in the Prometheus format. Label values are enum constants, so that the number of time series
 * stays bounded.
 *
 * <p>Example: {@code metrics.count("lovagegrade_refusals", RefusalReason.WRONG_KEY);}
 */
public final class Metrics {
    private static final String REASON_LABEL = "reason";

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    private Metrics() {}

    /**
     * Creates an empty metrics registry.
     *
     * @return the new registry
     */
    public static Metrics create() {
        return new Metrics();
    }

    /**
     * Registers a counter at zero for each reason, so that a missing time series can't be mistaken for a count of zero.
     *
     * @param name the name of the counter
     * @param reasons the enum whose constants are the reasons
     * @return this registry
     */
    public Metrics declare(String name, Class<? extends Enum<?>> reasons) {
        for (Enum<?> reason : reasons.getEnumConstants()) {
            counter(name, reason);
        }
        return this;
    }

    /**
     * Increments the counter of a reason.
     *
     * @param name the name of the counter
     * @param reason the reason; written as a label in lower case
     */
    public void count(String name, Enum<?> reason) {
        counter(name, reason).increment();
    }

    /**
     * Adds an amount to the counter of a reason.
     *
     * @param name the name of the counter, with its unit as suffix
     * @param reason the reason; written as a label in lower case
     * @param amount the amount in that unit, not negative
     */
    public void add(String name, Enum<?> reason, double amount) {
        counter(name, reason).increment(amount);
    }

    /**
     * Records a value in a summary with the 50th and 99th percentile, one for each group.
     *
     * @param name the name of the summary, with its unit as suffix
     * @param label the name of the label of groups
     * @param group the group; written as a label in lower case
     * @param value the value in that unit
     */
    public void record(String name, String label, Enum<?> group, double value) {
        DistributionSummary.builder(name)
                .tag(label, group.name().toLowerCase(Locale.ROOT))
                .publishPercentiles(0.5, 0.99)
                .register(registry)
                .record(value);
    }

    /**
     * Records a value in a summary with the 50th and 99th percentile.
     *
     * @param name the name of the summary, with its unit as suffix
     * @param value the value in that unit
     */
    public void record(String name, double value) {
        DistributionSummary.builder(name)
                .publishPercentiles(0.5, 0.99)
                .register(registry)
                .record(value);
    }

    /**
     * Renders all metrics.
     *
     * @return the metrics in the Prometheus text format
     */
    public String scrape() {
        return registry.scrape();
    }

    private Counter counter(String name, Enum<?> reason) {
        return registry.counter(name, REASON_LABEL, reason.name().toLowerCase(Locale.ROOT));
    }
}
