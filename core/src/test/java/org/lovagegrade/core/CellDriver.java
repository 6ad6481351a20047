package org.lovagegrade.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** Drives a scheduler with simulated time in tests; simulated workers carry out each decision at once. */
final class CellDriver {
    private final Scheduler scheduler;
    private final List<Decision> decisions = new ArrayList<>();
    private final Map<Attempt, Long> running = new LinkedHashMap<>();
    private final Map<String, Long> runDurationMs = new HashMap<>();
    private long nowMs;

    CellDriver(Policy policy) {
        this.scheduler = Scheduler.with(policy);
    }

    CellDriver workers(int count, long cores, long memoryMb) {
        for (int i = 0; i < count; i++) {
            worker("w" + i, "d" + i % 3, cores, memoryMb);
        }
        return this;
    }

    CellDriver worker(String id, String domain, long cores, long memoryMb) {
        Resources capacity = Resources.of(cores * Resources.MILLI_CORES_PER_CORE, memoryMb, 0);
        return apply(new Event.WorkerAnnounced(new Worker(id, domain, "r-" + domain, capacity)));
    }

    CellDriver workspace(String id, double share) {
        return apply(new Event.WorkspaceSet(new Workspace(id, share, Limits.UNLIMITED)));
    }

    CellDriver workspaceLimitedTo(String id, double share, long cores) {
        Limits limits = Limits.of(
                OptionalLong.of(cores * Resources.MILLI_CORES_PER_CORE), OptionalLong.empty(), OptionalLong.empty());
        return apply(new Event.WorkspaceSet(new Workspace(id, share, limits)));
    }

    CellDriver workClass(String id, ClassKind kind, long waitTargetMs, long shareTargetMs) {
        return apply(new Event.ClassSet(new WorkClass(
                id,
                kind,
                waitTargetMs > 0 ? OptionalLong.of(waitTargetMs) : OptionalLong.empty(),
                OptionalLong.empty(),
                shareTargetMs > 0 ? OptionalLong.of(shareTargetMs) : OptionalLong.empty())));
    }

    CellDriver submit(String id, String workspace, String workClass, int tasks, double cores) {
        Resources size = Resources.of(Math.round(cores * Resources.MILLI_CORES_PER_CORE), 256, 0);
        return apply(new Event.JobSubmitted(new Job(id, workspace, workClass, tasks, size, 0, nowMs)));
    }

    /** Sets the run time of the tasks of a job; without it they run until they are stopped. */
    CellDriver runDuration(String job, long durationMs) {
        runDurationMs.put(job, durationMs);
        return this;
    }

    CellDriver apply(Event event) {
        scheduler.apply(nowMs, event);
        return this;
    }

    /** Advances time, with all decisions made when they are due. */
    CellDriver advanceTo(long atMs) {
        decideUntilStable();
        long next = nextMs();
        while (next <= atMs) {
            nowMs = Math.max(nowMs, next);
            endFinishedAttempts();
            decideUntilStable();
            next = nextMs();
        }
        nowMs = atMs;
        return this;
    }

    List<Decision> decisions(Action action) {
        return decisions.stream()
                .filter(decision -> decision.action() == action)
                .toList();
    }

    List<Decision> decisions(Action action, String job) {
        return decisions(action).stream()
                .filter(decision -> decision.job().equals(job))
                .toList();
    }

    long runningTasks(String job) {
        return running.keySet().stream()
                .filter(attempt -> attempt.job().equals(job))
                .count();
    }

    List<Attempt> runningAttempts(String job) {
        return running.keySet().stream()
                .filter(attempt -> attempt.job().equals(job))
                .toList();
    }

    Scheduler scheduler() {
        return scheduler;
    }

    long nowMs() {
        return nowMs;
    }

    private long nextMs() {
        long next = scheduler.nextWakeMs().orElse(Long.MAX_VALUE);
        for (long endMs : running.values()) {
            next = Math.min(next, endMs);
        }
        return next;
    }

    private void endFinishedAttempts() {
        for (Map.Entry<Attempt, Long> entry : List.copyOf(running.entrySet())) {
            if (entry.getValue() <= nowMs) {
                scheduler.apply(nowMs, new Event.AttemptEnded(entry.getKey()));
            }
        }
    }

    private void decideUntilStable() {
        List<Decision> decided = scheduler.decide(nowMs);
        while (!decided.isEmpty()) {
            decisions.addAll(decided);
            decided.forEach(this::execute);
            decided = scheduler.decide(nowMs);
        }
    }

    private void execute(Decision decision) {
        switch (decision.action()) {
            case PLACE -> {
                Long durationMs = runDurationMs.get(decision.job());
                running.put(decision.toAttempt(), durationMs == null ? Long.MAX_VALUE : nowMs + durationMs);
            }
            case CHECKPOINT -> scheduler.apply(nowMs, new Event.AttemptCheckpointed(decision.toAttempt()));
            case STOP -> scheduler.apply(nowMs, new Event.AttemptStopped(decision.toAttempt()));
            case END, LEASE_EXPIRED -> running.remove(decision.toAttempt());
            case FAIL -> {
                if (decision.task() != Decision.WHOLE_JOB) {
                    running.remove(decision.toAttempt());
                }
            }
            default -> {}
        }
    }
}
