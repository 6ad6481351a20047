package org.lovagegrade.replay.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagegrade.core.Action;
import org.lovagegrade.core.ClassKind;
import org.lovagegrade.core.Decision;
import org.lovagegrade.core.Limits;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.Worker;

/**
 * Checks the invariants of all decisions, from the decisions and the trace alone: no worker is allocated beyond its
 * capacity, no task is on two workers, no workspace is placed above its limits, a gang is placed as a whole, and no task of
 * a cancelled job is placed.
 */
final class InvariantChecker {
    private static final int MAX_REPORTED_VIOLATIONS = 20;

    private final Map<String, Resources> capacityByWorker = new HashMap<>();
    private final Map<String, Resources> allocatedByWorker = new HashMap<>();
    private final Map<String, Resources> allocatedByWorkspace = new HashMap<>();
    private final Map<String, Limits> limitsByWorkspace = new HashMap<>();
    private final Map<String, String> workerByTask = new HashMap<>();
    private final Map<String, Integer> lastAttemptByTask = new HashMap<>();
    private final Set<String> unresponsiveWorkers = new HashSet<>();
    private final List<String> firstViolations = new ArrayList<>();
    private long violationCount;

    void workerAnnounced(Worker worker) {
        capacityByWorker.put(worker.id(), worker.capacity());
        unresponsiveWorkers.remove(worker.id());
    }

    void workerUnresponsive(String worker) {
        unresponsiveWorkers.add(worker);
    }

    void limitsChanged(String workspace, Limits newLimits) {
        limitsByWorkspace.put(workspace, newLimits);
    }

    void check(long atMs, Decision decision, ReplayedJob job) {
        if (decision.task() == Decision.WHOLE_JOB) {
            return;
        }
        String task = decision.job() + "/" + decision.task();
        switch (decision.action()) {
            case PLACE -> checkPlace(atMs, decision, job, task);
            case END, FAIL, LEASE_EXPIRED -> checkRelease(atMs, decision, job, task);
            default ->
                require(
                        decision.worker().equals(workerByTask.get(task)),
                        atMs,
                        decision.action().text() + " of task " + task + " that is not on " + decision.worker());
        }
    }

    /** Checks that gangs are placed as a whole; called once with all decisions of one time. */
    void checkGangs(long atMs, List<Decision> decisions, Map<String, ReplayedJob> jobs) {
        Map<String, Integer> placedTasks = new HashMap<>();
        for (Decision decision : decisions) {
            boolean isGang = decision.action() == Action.PLACE
                    && jobs.get(decision.job()).workClass.kind() == ClassKind.GANG;
            if (isGang) {
                placedTasks.merge(decision.job(), 1, Integer::sum);
            }
        }
        placedTasks.forEach((job, count) ->
                require(count % jobs.get(job).firstStartMs.length == 0, atMs, "gang " + job + " placed only in part"));
    }

    long violationCount() {
        return violationCount;
    }

    List<String> firstViolations() {
        return List.copyOf(firstViolations);
    }

    private void checkPlace(long atMs, Decision decision, ReplayedJob job, String task) {
        String worker = decision.worker();
        require(workerByTask.get(task) == null, atMs, "task " + task + " placed while on " + workerByTask.get(task));
        require(
                decision.attempt() == lastAttemptByTask.getOrDefault(task, 0) + 1,
                atMs,
                "task " + task + " placed as attempt " + decision.attempt());
        require(!unresponsiveWorkers.contains(worker), atMs, "task " + task + " placed on unresponsive " + worker);
        boolean isCancelled = job.cancelledAtMs.isPresent() && job.cancelledAtMs.getAsLong() < atMs;
        require(!isCancelled, atMs, "task " + task + " of a cancelled job placed");
        lastAttemptByTask.put(task, decision.attempt());
        workerByTask.put(task, worker);
        Resources onWorker =
                allocatedByWorker.getOrDefault(worker, Resources.NONE).plus(job.perTask());
        allocatedByWorker.put(worker, onWorker);
        require(
                capacityByWorker.getOrDefault(worker, Resources.NONE).covers(onWorker),
                atMs,
                "worker " + worker + " has " + onWorker + " allocated, capacity " + capacityByWorker.get(worker));
        String workspace = job.submission.job().workspace();
        Resources ofWorkspace =
                allocatedByWorkspace.getOrDefault(workspace, Resources.NONE).plus(job.perTask());
        allocatedByWorkspace.put(workspace, ofWorkspace);
        require(
                limitsByWorkspace.getOrDefault(workspace, Limits.UNLIMITED).allow(ofWorkspace),
                atMs,
                "team " + workspace + " has " + ofWorkspace + " allocated, above its limit");
    }

    private void checkRelease(long atMs, Decision decision, ReplayedJob job, String task) {
        boolean isAllocated = decision.worker().equals(workerByTask.get(task))
                && lastAttemptByTask.getOrDefault(task, 0) == decision.attempt();
        require(
                isAllocated,
                atMs,
                decision.action().text() + " of task " + task + " that is not allocated on " + decision.worker());
        if (isAllocated) {
            workerByTask.remove(task);
            allocatedByWorker.computeIfPresent(decision.worker(), (_id, allocated) -> allocated.minus(job.perTask()));
            allocatedByWorkspace.computeIfPresent(
                    job.submission.job().workspace(), (_id, allocated) -> allocated.minus(job.perTask()));
        }
    }

    private void require(boolean holds, long atMs, String violation) {
        if (holds) {
            return;
        }
        violationCount++;
        if (firstViolations.size() < MAX_REPORTED_VIOLATIONS) {
            firstViolations.add("at " + atMs + " ms: " + violation);
        }
    }
}
