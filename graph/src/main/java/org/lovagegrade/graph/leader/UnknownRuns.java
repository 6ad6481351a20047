package org.lovagegrade.graph.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.TaskKey;
import org.lovagegrade.graph.worker.RunView;

/**
 * The runs that workers list although the log does not have them there: late orders began them. Until they have been stopped
 * their tasks must not be started elsewhere.
 */
final class UnknownRuns {
    private final LeaderTimings timings;
    private final Map<String, Listed> byWorker = new HashMap<>();

    /** The runs that a worker listed, and when. */
    private record Listed(List<RunKey> runs, long atMs) {}

    UnknownRuns(LeaderTimings timings) {
        this.timings = timings;
    }

    /**
     * Records the unknown runs among the runs that a worker lists, in place of those that it listed before.
     *
     * @param session the incarnation that the log has
     * @param running the listed runs
     * @param nowMs the present time, on the monotonic clock in milliseconds
     */
    void record(WorkerSession session, List<RunView> running, long nowMs) {
        List<RunKey> unknownRuns = new ArrayList<>();
        for (RunView view : running) {
            if (!session.runs.containsKey(view.key())) {
                unknownRuns.add(view.key());
            }
        }
        if (unknownRuns.isEmpty()) {
            byWorker.remove(session.id());
        } else {
            byWorker.put(session.id(), new Listed(unknownRuns, nowMs));
        }
    }

    /** Whether a worker may still have a run of the task that the log does not have there. */
    boolean mayRun(TaskKey task, long nowMs) {
        if (byWorker.isEmpty()) {
            return false;
        }
        return byWorker.values().stream()
                .filter(listed -> nowMs < leaseExpiredAtMs(listed))
                .flatMap(listed -> listed.runs().stream())
                .anyMatch(run -> run.task().equals(task));
    }

    /** Forgets runs whose leases have expired, since their worker has not been heard for so long. */
    void tick(long nowMs) {
        byWorker.values().removeIf(listed -> nowMs >= leaseExpiredAtMs(listed));
    }

    private long leaseExpiredAtMs(Listed listed) {
        return WorkerClock.expiredAtMs(listed.atMs() + timings.maxOrderDelayMs(), timings.maxLeaseMs());
    }
}
