package org.lovagegrade.graph.leader;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.lovagegrade.graph.machine.RunKey;

/**
 * The starts to a worker that may still arrive. They are kept by the worker's id across its restarts, since a worker that
 * has restarted may accept an order to its former incarnation, and has forgotten which runs were stopped there.
 */
final class LateStarts {
    /** An unanswered order may still arrive up to this much later. */
    private static final long MAX_ORDER_DELAY_MS = 15_000;

    private final Map<RunKey, Long> possibleUntilMs = new HashMap<>();

    /** Records that a start of the run went unanswered, or that its answer is still awaited when the session ends. */
    void record(RunKey run, long nowMs) {
        possibleUntilMs.put(run, nowMs + MAX_ORDER_DELAY_MS);
    }

    /** The runs that a late start may still begin. */
    Set<RunKey> runs(long nowMs) {
        possibleUntilMs.values().removeIf(untilMs -> untilMs <= nowMs);
        return Set.copyOf(possibleUntilMs.keySet());
    }
}
