package org.lovagegrade.kernel.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Locale;

/**
 * The metrics of one process in the Prometheus format; label values are enum constants, so that they stay bounded.
 *
 * <p>Example: {@code metrics.count("lovagegrade_refusals", RefusalReason.WRONG_KEY);}
 */
public final class Metrics {
    private static final String REASON_LABEL = "reason";

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    private Metrics() {}

    /**
     * Creates an empty set of metrics.
     *
     * @return the new set
     */
    public static Metrics create() {
        return new Metrics();
    }

    /**
     * Makes a counter visible at zero for each reason, so that its absence never hides a refusal.
     *
     * @param name the name of the counter
     * @param reasons the enum whose constants are the reasons
     * @return this set
     */
    public Metrics declare(String name, Class<? extends Enum<?>> reasons) {
        for (Enum<?> reason : reasons.getEnumConstants()) {
            counter(name, reason);
        }
        return this;
    }

    /**
     * Counts one event under its reason.
     *
     * @param name the name of the counter
     * @param reason why it happened
     */
    public void count(String name, Enum<?> reason) {
        counter(name, reason).increment();
    }

    /**
     * Records a duration.
     *
     * @param name the name of the histogram, with its unit as suffix
     * @param value the value to record
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
     * @return the text that a Prometheus scraper reads
     */
    public String scrape() {
        return registry.scrape();
    }

    private Counter counter(String name, Enum<?> reason) {
        return registry.counter(name, REASON_LABEL, reason.name().toLowerCase(Locale.ROOT));
    }
}
