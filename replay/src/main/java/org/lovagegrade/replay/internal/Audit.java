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
 * Checks every decision against the promises, from the decisions and the trace alone: no worker holds more than it has,
 * no task is in two places, no workspace is placed above its limit, a gang is placed whole, nothing is placed of a cancelled
 * job.
 */
final class Audit {
    private static final int MOST_KEPT = 20;

    private final Map<String, Resources> capacity = new HashMap<>();
    private final Map<String, Resources> heldOnWorker = new HashMap<>();
    private final Map<String, Resources> heldByWorkspace = new HashMap<>();
    private final Map<String, Limits> limits = new HashMap<>();
    private final Map<String, String> placeOfTask = new HashMap<>();
    private final Map<String, Integer> lastAttempt = new HashMap<>();
    private final Set<String> silent = new HashSet<>();
    private final List<String> found = new ArrayList<>();
    private long violations;

    void worker(Worker worker) {
        capacity.put(worker.id(), worker.capacity());
        silent.remove(worker.id());
    }

    void lost(String worker) {
        silent.add(worker);
    }

    void limits(String workspace, Limits stated) {
        limits.put(workspace, stated);
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
                        decision.worker().equals(placeOfTask.get(task)),
                        atMs,
                        decision.action().text() + " of task " + task + " that is not on " + decision.worker());
        }
    }

    /** To be called when all decisions of one time are known. */
    void checkGangs(long atMs, List<Decision> decisions, Map<String, ReplayedJob> jobs) {
        Map<String, Integer> placed = new HashMap<>();
        for (Decision decision : decisions) {
            boolean isGang = decision.action() == Action.PLACE
                    && jobs.get(decision.job()).workClass.kind() == ClassKind.GANG;
            if (isGang) {
                placed.merge(decision.job(), 1, Integer::sum);
            }
        }
        placed.forEach((job, count) ->
                require(count % jobs.get(job).firstStartMs.length == 0, atMs, "gang " + job + " placed in part"));
    }

    long violations() {
        return violations;
    }

    List<String> found() {
        return List.copyOf(found);
    }

    private void checkPlace(long atMs, Decision decision, ReplayedJob job, String task) {
        String worker = decision.worker();
        require(placeOfTask.get(task) == null, atMs, "task " + task + " placed while on " + placeOfTask.get(task));
        require(
                decision.attempt() == lastAttempt.getOrDefault(task, 0) + 1,
                atMs,
                "task " + task + " placed as attempt " + decision.attempt());
        require(!silent.contains(worker), atMs, "task " + task + " placed on silent " + worker);
        boolean isCancelled = job.cancelledAtMs.isPresent() && job.cancelledAtMs.getAsLong() < atMs;
        require(!isCancelled, atMs, "task " + task + " of a cancelled job placed");
        lastAttempt.put(task, decision.attempt());
        placeOfTask.put(task, worker);
        Resources onWorker = heldOnWorker.getOrDefault(worker, Resources.NONE).plus(job.perTask());
        heldOnWorker.put(worker, onWorker);
        require(
                capacity.getOrDefault(worker, Resources.NONE).covers(onWorker),
                atMs,
                "worker " + worker + " holds " + onWorker + ", has " + capacity.get(worker));
        String workspace = job.line.job().workspace();
        Resources ofWorkspace =
                heldByWorkspace.getOrDefault(workspace, Resources.NONE).plus(job.perTask());
        heldByWorkspace.put(workspace, ofWorkspace);
        require(
                limits.getOrDefault(workspace, Limits.UNLIMITED).allow(ofWorkspace),
                atMs,
                "team " + workspace + " holds " + ofWorkspace + " above its limit");
    }

    private void checkRelease(long atMs, Decision decision, ReplayedJob job, String task) {
        boolean isHeld = decision.worker().equals(placeOfTask.get(task))
                && lastAttempt.getOrDefault(task, 0) == decision.attempt();
        require(isHeld, atMs, decision.action().text() + " of task " + task + " not held by " + decision.worker());
        if (isHeld) {
            placeOfTask.remove(task);
            heldOnWorker.computeIfPresent(decision.worker(), (_id, held) -> held.minus(job.perTask()));
            heldByWorkspace.computeIfPresent(job.line.job().workspace(), (_id, held) -> held.minus(job.perTask()));
        }
    }

    private void require(boolean holds, long atMs, String violation) {
        if (holds) {
            return;
        }
        violations++;
        if (found.size() < MOST_KEPT) {
            found.add("at " + atMs + " ms: " + violation);
        }
    }
}
