package org.lovagegrade.core;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiPredicate;
import org.lovagegrade.core.internal.Engine;
import org.lovagegrade.core.internal.EngineView;

/**
 * Deterministic scheduler: takes events with their times and returns decisions. It has no threads, no clock and no I/O;
 * the same events at the same times produce the same decisions.
 *
 * <p>Example:
 *
 * <pre>{@code
 * Scheduler scheduler = Scheduler.with(Policy.current());
 * scheduler.apply(nowMs, new Event.WorkerAnnounced(worker));
 * List<Decision> decisions = scheduler.decide(nowMs);
 * }</pre>
 */
public final class Scheduler {
    /** The default fencing rule: only reports about the current attempt, from its worker, are applied. */
    public static final BiPredicate<Attempt, Attempt> HOLDER_ONLY = Attempt::equals;

    private final Engine engine;

    private Scheduler(Policy policy, BiPredicate<Attempt, Attempt> fencingRule) {
        this.engine = new Engine(policy.rules(), fencingRule);
    }

    /**
     * Creates a scheduler.
     *
     * @param policy the scheduling policy
     * @return a scheduler without any state
     */
    public static Scheduler with(Policy policy) {
        return new Scheduler(policy, HOLDER_ONLY);
    }

    /**
     * Creates a scheduler with another fencing rule, to measure the effect of fencing.
     *
     * @param policy the scheduling policy
     * @param fencingRule whether a report about its first argument applies to its second, the current attempt
     * @return a scheduler without any state
     */
    public static Scheduler withFencingRule(Policy policy, BiPredicate<Attempt, Attempt> fencingRule) {
        return new Scheduler(policy, fencingRule);
    }

    /**
     * Applies one event; reports that the fencing rule rejects are ignored.
     *
     * @param nowMs the current time in milliseconds, not earlier than in the previous call
     * @param event the event
     * @return this scheduler
     */
    public Scheduler apply(long nowMs, Event event) {
        engine.apply(nowMs, event);
        return this;
    }

    /**
     * Makes all decisions that are due.
     *
     * @param nowMs the current time in milliseconds, not earlier than in the previous call
     * @return the decisions since the previous call, in order
     */
    public List<Decision> decide(long nowMs) {
        return engine.decide(nowMs);
    }

    /**
     * Returns when to decide next if no event arrives earlier.
     *
     * @return a time in milliseconds, or empty if nothing is scheduled
     */
    public OptionalLong nextWakeMs() {
        return engine.nextWakeMs();
    }

    /**
     * Explains why a job waits.
     *
     * @param job the job's id
     * @param nowMs the current time in milliseconds
     * @return the explanation, or empty if the job is unknown or finished
     */
    public Optional<Explanation> explain(String job, long nowMs) {
        return engine.explain(job, nowMs);
    }

    /**
     * Lists the jobs that are not finished.
     *
     * @return their ids, in no particular order
     */
    public List<String> liveJobs() {
        return engine.liveJobs();
    }

    /**
     * Returns a read-only view for metrics and status pages.
     *
     * @return a view of the current state, valid until the next event
     */
    public EngineView view() {
        return engine.view();
    }
}
