package org.lovagegrade.replay.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import org.HdrHistogram.Histogram;
import org.lovagegrade.core.Action;
import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.ClassKind;
import org.lovagegrade.core.Decision;
import org.lovagegrade.core.Event;
import org.lovagegrade.core.Job;
import org.lovagegrade.core.Limits;
import org.lovagegrade.core.Policy;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.Scheduler;
import org.lovagegrade.core.WorkClass;
import org.lovagegrade.core.Worker;
import org.lovagegrade.core.Workspace;
import org.lovagegrade.core.lease.LeaseTable;
import org.lovagegrade.replay.trace.TraceLine;

/**
 * Runs a trace through the scheduler in the trace's own time, with the simplest stand-in for workers: one loop over a
 * queue of events.
 */
public final class ReplayLoop {
    private static final long FAIL_AFTER_MS = 500;
    private static final long USAGE_LAG_MS = 15_000;
    private static final long LONGEST_TAIL_MS = 3_600_000;
    private static final long NANOS_PER_US = 1_000;
    private static final long MOST_DECISION_US = 60_000_000;

    private final List<TraceLine> lines;
    private final long startDelayMs;
    private final Scheduler scheduler;
    private final BiConsumer<Long, Decision> decisionSink;
    private final LongConsumer progress;
    private final LeaseTable leases = new LeaseTable();
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::atMs).thenComparingLong(Due::sequence));
    private final Map<String, Worker> workers = new HashMap<>();
    private final Map<String, Workspace> workspaces = new HashMap<>();
    private final Map<String, WorkClass> classes = new HashMap<>();
    private final Map<String, ReplayedJob> jobs = new LinkedHashMap<>();
    private final Map<Attempt, LiveAttempt> live = new LinkedHashMap<>();
    private final Map<String, Set<Attempt>> liveByWorker = new HashMap<>();
    private final Set<String> silent = new HashSet<>();
    private final Set<String> failing = new HashSet<>();
    private final Map<String, Resources> wantedByWorkspace = new HashMap<>();
    private final Audit audit = new Audit();
    private final Measures measures = new Measures();
    private final Histogram decisionUs = new Histogram(MOST_DECISION_US, 3);
    private final ReplayCounts counts = new ReplayCounts();
    private Resources placedOnLiving = Resources.NONE;
    private long waitingTasks;
    private long waitingFinite;
    private long runningFinite;
    private long nextSequence;
    private long nowMs;

    /** Something that is to happen to an attempt. */
    private record Due(long atMs, long sequence, LiveAttempt attempt, Kind kind) {
        /** What happens. */
        enum Kind {
            END,
            FAIL,
            USAGE
        }
    }

    /**
     * Creates a loop.
     *
     * @param lines the trace
     * @param policy how to decide
     * @param startDelayMs how long a placed task takes to start, in milliseconds
     * @param decisionSink takes each decision with its time, in order
     * @param progress takes the number of lines read so far
     */
    public ReplayLoop(
            List<TraceLine> lines,
            Policy policy,
            long startDelayMs,
            BiConsumer<Long, Decision> decisionSink,
            LongConsumer progress) {
        this.lines = lines;
        this.startDelayMs = startDelayMs;
        this.scheduler = Scheduler.with(policy);
        this.decisionSink = decisionSink;
        this.progress = progress;
    }

    /**
     * Runs the whole trace, and on until no finite work runs or waits.
     *
     * @return what was seen
     */
    public ReplayResult run() {
        int next = 0;
        long lastLineMs = lines.isEmpty() ? 0 : lines.get(lines.size() - 1).atMs();
        while (true) {
            long atMs = nextTimeMs(next);
            boolean isTail = next >= lines.size();
            if (atMs == Long.MAX_VALUE || (isTail && (isQuiet() || atMs > lastLineMs + LONGEST_TAIL_MS))) {
                break;
            }
            nowMs = Math.max(nowMs, atMs);
            measures.advanceTo(nowMs);
            long startedNs = System.nanoTime();
            runDue();
            while (next < lines.size() && lines.get(next).atMs() <= nowMs) {
                take(lines.get(next));
                next++;
                progress.accept(next);
            }
            int decided = decideAll();
            recordCost(System.nanoTime() - startedNs, decided);
            measures.note(nowMs, scheduler.view(), placedOnLiving, waitingTasks > 0, wantedByWorkspace);
        }
        return new ReplayResult(counts, measures, audit, decisionUs, List.copyOf(jobs.values()));
    }

    private void recordCost(long tookNs, int decided) {
        if (decided > 0) {
            decisionUs.recordValueWithCount(
                    Math.min(MOST_DECISION_US, Math.max(1, tookNs / NANOS_PER_US / decided)), decided);
        }
    }

    private long nextTimeMs(int next) {
        long atMs = next < lines.size() ? lines.get(next).atMs() : Long.MAX_VALUE;
        if (!queue.isEmpty()) {
            atMs = Math.min(atMs, queue.peek().atMs());
        }
        atMs = Math.min(atMs, scheduler.nextWakeMs().orElse(Long.MAX_VALUE));
        return Math.min(atMs, leases.nextCheckMs().orElse(Long.MAX_VALUE));
    }

    private boolean isQuiet() {
        return waitingFinite == 0 && runningFinite == 0;
    }

    // --- what happens to attempts

    private void runDue() {
        for (Attempt attempt : leases.takeExpired(nowMs)) {
            scheduler.apply(nowMs, new Event.LeaseExpired(attempt));
        }
        while (!queue.isEmpty() && queue.peek().atMs() <= nowMs) {
            happen(queue.poll());
        }
    }

    private void happen(Due due) {
        Attempt attempt = due.attempt().attempt;
        boolean isReported = live.get(attempt) == due.attempt() && !silent.contains(attempt.worker());
        if (!isReported) {
            return;
        }
        switch (due.kind()) {
            case END -> scheduler.apply(nowMs, new Event.AttemptEnded(attempt));
            case FAIL -> scheduler.apply(nowMs, new Event.AttemptFailed(attempt));
            case USAGE ->
                scheduler.apply(
                        nowMs,
                        new Event.UsageReported(attempt, due.attempt().job.line.used()));
        }
    }

    // --- the trace

    private void take(TraceLine line) {
        if (line instanceof TraceLine.WorkerLine worker) {
            announce(worker.worker());
        } else if (line instanceof TraceLine.WorkspaceLine workspace) {
            setWorkspace(workspace.workspace());
        } else if (line instanceof TraceLine.ClassLine workClass) {
            classes.put(workClass.workClass().id(), workClass.workClass());
            scheduler.apply(nowMs, new Event.ClassSet(workClass.workClass()));
        } else if (line instanceof TraceLine.SubmitLine submit) {
            submit(submit);
        } else if (line instanceof TraceLine.CancelLine cancel) {
            cancel(cancel.job());
        } else if (line instanceof TraceLine.WorkerLostLine lost) {
            lose(lost.worker());
        } else if (line instanceof TraceLine.WorkerBackLine back) {
            if (workers.containsKey(back.worker())) {
                announce(workers.get(back.worker()));
            }
        } else if (line instanceof TraceLine.WorkerFailsLine fails) {
            if (fails.failing()) {
                failing.add(fails.worker());
            } else {
                failing.remove(fails.worker());
            }
        } else if (line instanceof TraceLine.LimitLine limit) {
            limit(limit.workspace(), limit.limits());
        }
    }

    private void announce(Worker worker) {
        workers.put(worker.id(), worker);
        if (silent.remove(worker.id())) {
            for (Attempt attempt : liveByWorker.getOrDefault(worker.id(), Set.of())) {
                leases.released(attempt);
                placedOnLiving = placedOnLiving.plus(live.get(attempt).job.perTask());
            }
        }
        audit.worker(worker);
        scheduler.apply(nowMs, new Event.WorkerAnnounced(worker));
    }

    private void lose(String worker) {
        if (!workers.containsKey(worker) || !silent.add(worker)) {
            return;
        }
        for (Attempt attempt : liveByWorker.getOrDefault(worker, Set.of())) {
            LiveAttempt lost = live.get(attempt);
            leases.granted(attempt, nowMs, lost.leaseMs);
            placedOnLiving = placedOnLiving.minus(lost.job.perTask());
        }
        audit.lost(worker);
        scheduler.apply(nowMs, new Event.WorkerUnresponsive(worker));
    }

    private void setWorkspace(Workspace workspace) {
        workspaces.put(workspace.id(), workspace);
        audit.limits(workspace.id(), workspace.limits());
        scheduler.apply(nowMs, new Event.WorkspaceSet(workspace));
    }

    private void limit(String id, Limits limits) {
        Workspace workspace = workspaces.get(id);
        if (workspace != null) {
            setWorkspace(new Workspace(id, workspace.share(), limits));
        }
    }

    private void submit(TraceLine.SubmitLine line) {
        Job job = line.job();
        if (jobs.containsKey(job.id())) {
            Decision refusal = Decision.aboutJob(Action.REFUSE, job.id(), Reason.DUPLICATE_JOB);
            counts.refused++;
            decisionSink.accept(nowMs, refusal);
            return;
        }
        jobs.put(job.id(), new ReplayedJob(line, classes.get(job.workClass())));
        scheduler.apply(nowMs, new Event.JobSubmitted(job));
    }

    private void cancel(String id) {
        ReplayedJob job = jobs.get(id);
        if (job == null || job.cancelledAtMs.isPresent()) {
            return;
        }
        changeWaiting(job, -job.waiting);
        job.cancelledAtMs = OptionalLong.of(nowMs);
        scheduler.apply(nowMs, new Event.JobCancelled(id));
    }

    // --- decisions

    private int decideAll() {
        int decided = 0;
        List<Decision> all = new ArrayList<>();
        List<Decision> decisions = scheduler.decide(nowMs);
        while (!decisions.isEmpty()) {
            decided += decisions.size();
            all.addAll(decisions);
            decisions.forEach(this::carryOut);
            decisions = scheduler.decide(nowMs);
        }
        audit.checkGangs(nowMs, all, jobs);
        return decided;
    }

    private void carryOut(Decision decision) {
        decisionSink.accept(nowMs, decision);
        ReplayedJob job = jobs.get(decision.job());
        audit.check(nowMs, decision, job);
        switch (decision.action()) {
            case ACCEPT -> accept(job);
            case REFUSE -> counts.refused++;
            case SET_ASIDE -> setAside(job);
            case PLACE -> place(decision, job);
            case CHECKPOINT -> scheduler.apply(nowMs, new Event.AttemptCheckpointed(decision.toAttempt()));
            case STOP -> stop(decision);
            case END -> end(decision, job);
            case FAIL, LEASE_EXPIRED -> lose(decision, job);
        }
    }

    private void accept(ReplayedJob job) {
        counts.accepted++;
        job.accepted = true;
        if (job.isActive()) {
            changeWaiting(job, job.firstStartMs.length);
        }
    }

    private void setAside(ReplayedJob job) {
        counts.setAside.add(job.line.job().id());
        changeWaiting(job, -job.waiting);
        job.setAside = true;
    }

    private void place(Decision decision, ReplayedJob job) {
        returnFromSetAside(job);
        counts.placements++;
        Attempt attempt = decision.toAttempt();
        LiveAttempt placed = new LiveAttempt(attempt, job, nowMs, nowMs + startDelayMs, decision.leaseMs());
        live.put(attempt, placed);
        liveByWorker
                .computeIfAbsent(attempt.worker(), _id -> new LinkedHashSet<>())
                .add(attempt);
        placedOnLiving = placedOnLiving.plus(job.perTask());
        changeWaiting(job, -1);
        runningFinite += job.isFinite() ? 1 : 0;
        if (job.firstStartMs[attempt.task()] < 0) {
            job.firstStartMs[attempt.task()] = placed.startsAtMs;
        }
        schedule(placed);
    }

    /** A job that is placed after it was set aside waits again for the rest of its tasks. */
    private void returnFromSetAside(ReplayedJob job) {
        if (job.setAside) {
            job.setAside = false;
            int held = 0;
            for (LiveAttempt attempt : live.values()) {
                held += attempt.job == job ? 1 : 0;
            }
            changeWaiting(job, job.firstStartMs.length - job.endedCount - held);
        }
    }

    private void schedule(LiveAttempt placed) {
        if (failing.contains(placed.attempt.worker())) {
            add(placed.startsAtMs + FAIL_AFTER_MS, placed, Due.Kind.FAIL);
        } else if (placed.job.isFinite()) {
            add(placed.startsAtMs + placed.job.line.actualRunMs().getAsLong(), placed, Due.Kind.END);
        }
        if (!placed.job.line.used().equals(placed.job.perTask())) {
            add(placed.startsAtMs + USAGE_LAG_MS, placed, Due.Kind.USAGE);
        }
    }

    private void add(long atMs, LiveAttempt attempt, Due.Kind kind) {
        queue.add(new Due(atMs, nextSequence++, attempt, kind));
    }

    private void stop(Decision decision) {
        Attempt attempt = decision.toAttempt();
        LiveAttempt stopped = live.get(attempt);
        boolean isPreempted = decision.reason() != Reason.CANCELLED;
        if (stopped != null && isPreempted) {
            stopped.preempted = true;
            counts.preempted++;
        }
        if (!silent.contains(attempt.worker())) {
            scheduler.apply(nowMs, new Event.AttemptStopped(attempt));
        }
    }

    private void end(Decision decision, ReplayedJob job) {
        LiveAttempt ended = remove(decision);
        if (decision.reason() == Reason.COMPLETED) {
            counts.ended++;
            job.ended[decision.task()] = true;
            job.endedCount++;
            return;
        }
        if (ended != null && ended.preempted) {
            loseWork(ended);
        }
        backToWaiting(job);
    }

    private void lose(Decision decision, ReplayedJob job) {
        if (decision.task() == Decision.WHOLE_JOB) {
            changeWaiting(job, -job.waiting);
            job.failed = true;
            return;
        }
        LiveAttempt lost = remove(decision);
        if (lost != null) {
            loseWork(lost);
        }
        backToWaiting(job);
    }

    private void loseWork(LiveAttempt lost) {
        counts.lostWorkMs += Math.max(0, nowMs - lost.startsAtMs);
    }

    private void backToWaiting(ReplayedJob job) {
        if (!job.isActive()) {
            return;
        }
        boolean isGang = job.workClass.kind() == ClassKind.GANG;
        if (isGang && job.endedCount > 0) {
            changeWaiting(job, job.endedCount);
            Arrays.fill(job.ended, false);
            job.endedCount = 0;
        }
        changeWaiting(job, 1);
    }

    private LiveAttempt remove(Decision decision) {
        Attempt attempt = decision.toAttempt();
        LiveAttempt removed = live.remove(attempt);
        if (removed == null) {
            return null;
        }
        liveByWorker.get(attempt.worker()).remove(attempt);
        leases.released(attempt);
        runningFinite -= removed.job.isFinite() ? 1 : 0;
        if (!silent.contains(attempt.worker())) {
            placedOnLiving = placedOnLiving.minus(removed.job.perTask());
        }
        return removed;
    }

    private void changeWaiting(ReplayedJob job, int change) {
        job.waiting += change;
        waitingTasks += change;
        waitingFinite += job.isFinite() ? change : 0;
        wantedByWorkspace.merge(job.line.job().workspace(), job.perTask().times(change), Resources::plus);
    }
}
