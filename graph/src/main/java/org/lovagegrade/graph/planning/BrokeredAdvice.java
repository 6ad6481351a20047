package org.lovagegrade.graph.planning;

import java.util.List;
import org.lovagegrade.graph.advice.AdviceBroker;
import org.lovagegrade.graph.advice.Verdict;

/** The verdicts that a broker has at one moment. */
public final class BrokeredAdvice implements AdviceLookup {
    private final AdviceBroker broker;
    private final long nowMs;

    private BrokeredAdvice(AdviceBroker broker, long nowMs) {
        this.broker = broker;
        this.nowMs = nowMs;
    }

    /**
     * Creates a view of a broker.
     *
     * @param broker the broker
     * @param nowMs the present time, on the broker's clock in milliseconds
     * @return its verdicts at this time
     */
    public static BrokeredAdvice of(AdviceBroker broker, long nowMs) {
        return new BrokeredAdvice(broker, nowMs);
    }

    @Override
    public Verdict verdict(String step, String worker) {
        return broker.verdict(step, worker, nowMs);
    }

    @Override
    public boolean isPending(String step) {
        return broker.isPending(step);
    }

    @Override
    public boolean isPendingInBackground(String step) {
        return broker.isPendingInBackground(step);
    }

    @Override
    public List<String> workersAsked(String step) {
        return broker.workersAsked(step);
    }

    @Override
    public long remainingMs(String step, String worker) {
        return broker.remainingMs(step, worker, nowMs);
    }

    @Override
    public double allowedShare(String queue) {
        return broker.allowedShare(queue);
    }
}
