package org.lovagegrade.core;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiPredicate;
import org.lovagegrade.core.internal.Engine;
import org.lovagegrade.core.internal.EngineView;

/**
 * The decisions of the product: events and the time go in, decisions come out. It has no thread, no clock and no I/O;
 * the same events at the same times give the same decisions.
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
    /** The fence: only the holder of an attempt may report about it. */
    public static final BiPredicate<Attempt, Attempt> HOLDER_ONLY = Attempt::equals;

    private final Engine engine;

    private Scheduler(Policy policy, BiPredicate<Attempt, Attempt> fencingRule) {
        this.engine = new Engine(policy.rules(), fencingRule);
    }

    /**
     * Creates a scheduler.
     *
     * @param policy how to decide
     * @return a scheduler that knows nothing yet
     */
    public static Scheduler with(Policy policy) {
        return new Scheduler(policy, HOLDER_ONLY);
    }

    /**
     * Creates a scheduler with another fence, to measure what the fence is for.
     *
     * @param policy how to decide
     * @param fencingRule whether a report about its first argument may be applied to its second, which is held now
     * @return a scheduler that knows nothing yet
     */
    public static Scheduler withFencingRule(Policy policy, BiPredicate<Attempt, Attempt> fencingRule) {
        return new Scheduler(policy, fencingRule);
    }

    /**
     * Takes one event in; reports from others than the holder of an attempt change nothing.
     *
     * @param nowMs the present time in milliseconds, not before that of the last call
     * @param event the event
     * @return this scheduler
     */
    public Scheduler apply(long nowMs, Event event) {
        engine.apply(nowMs, event);
        return this;
    }

    /**
     * Decides all that is due.
     *
     * @param nowMs the present time in milliseconds, not before that of the last call
     * @return the decisions since the last call, in order
     */
    public List<Decision> decide(long nowMs) {
        return engine.decide(nowMs);
    }

    /**
     * When to decide next, if no event comes before.
     *
     * @return a time in milliseconds, or empty
     */
    public OptionalLong nextWakeMs() {
        return engine.nextWakeMs();
    }

    /**
     * Tells why a job waits.
     *
     * @param job the job's id
     * @param nowMs the present time in milliseconds
     * @return the explanation, or empty if the job is not known or over
     */
    public Optional<Explanation> explain(String job, long nowMs) {
        return engine.explain(job, nowMs);
    }

    /**
     * Lists the jobs that are not over.
     *
     * @return their ids, in no order
     */
    public List<String> liveJobs() {
        return engine.liveJobs();
    }

    /**
     * Gives read access for measures and status pages.
     *
     * @return a view of the present state, valid until the next event
     */
    public EngineView view() {
        return engine.view();
    }
}
