package org.lovagegrade.graph.leader;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lovagegrade.graph.machine.TaskKey;
import org.lovagegrade.kernel.logging.Log;

/**
 * Suspects workers on which runs fail or stall. A worker on which tasks of several jobs fail in a row, or on which a
 * run makes no progress, gets no starts for a while, and then one run at a time as a probe until a run completes there.
 * A task avoids the workers on which it failed or stalled while another worker can take it.
 */
final class WorkerHealth {
    /** Tasks of this many jobs must fail in a row, so that a job that fails everywhere makes no worker suspect. */
    private static final int MIN_FAILED_JOBS = 2;
    /** The first pause without starts of a suspected worker. */
    private static final long FIRST_PAUSE_MS = 2_000;
    /** The pause doubles whenever a probe fails, up to this limit. */
    private static final long MAX_PAUSE_MS = 8_000;

    private final Map<String, Suspicion> suspicionsByWorker = new HashMap<>();
    private final Map<TaskKey, Set<String>> workersToAvoid = new HashMap<>();

    /** The evidence against a worker. */
    private static final class Suspicion {
        private final Set<String> failedJobs = new HashSet<>();
        private long pauseMs = FIRST_PAUSE_MS;
        private long pauseUntilMs;
        private boolean isSuspect;
    }

    void runCompleted(String worker) {
        suspicionsByWorker.remove(worker);
    }

    void runFailed(String worker, TaskKey task, long nowMs) {
        workersToAvoid.computeIfAbsent(task, _task -> new HashSet<>()).add(worker);
        Suspicion suspicion = suspicionsByWorker.computeIfAbsent(worker, _worker -> new Suspicion());
        suspicion.failedJobs.add(task.job());
        if (suspicion.isSuspect || suspicion.failedJobs.size() >= MIN_FAILED_JOBS) {
            pauseStarts(worker, suspicion, "failures", nowMs);
        }
    }

    void runStalled(String worker, TaskKey task, long nowMs) {
        workersToAvoid.computeIfAbsent(task, _task -> new HashSet<>()).add(worker);
        pauseStarts(
                worker, suspicionsByWorker.computeIfAbsent(worker, _worker -> new Suspicion()), "stalledRun", nowMs);
    }

    private static void pauseStarts(String worker, Suspicion suspicion, String reason, long nowMs) {
        if (suspicion.isSuspect && nowMs < suspicion.pauseUntilMs) {
            return;
        }
        suspicion.pauseMs = suspicion.isSuspect ? Math.min(MAX_PAUSE_MS, suspicion.pauseMs * 2) : FIRST_PAUSE_MS;
        suspicion.isSuspect = true;
        suspicion.pauseUntilMs = nowMs + suspicion.pauseMs;
        Log.event("workerSuspected")
                .with("worker", worker)
                .with("reason", reason)
                .with("restMs", suspicion.pauseMs)
                .warn();
    }

    /** Whether a worker that has the given number of runs may get another start. */
    boolean mayStart(String worker, int runs, long nowMs) {
        Suspicion suspicion = suspicionsByWorker.get(worker);
        return suspicion == null || !suspicion.isSuspect || (nowMs >= suspicion.pauseUntilMs && runs == 0);
    }

    /** Whether a run failed or stalled on a worker, and none has completed there since. */
    boolean isDoubtful(String worker) {
        return suspicionsByWorker.containsKey(worker);
    }

    /** The workers on which a task has failed or stalled. */
    Set<String> workersToAvoid(TaskKey task) {
        return workersToAvoid.getOrDefault(task, Set.of());
    }

    void forgetWorker(String worker) {
        suspicionsByWorker.remove(worker);
    }

    void forgetJob(String job) {
        workersToAvoid.keySet().removeIf(task -> task.job().equals(job));
    }
}
