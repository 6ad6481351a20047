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
 * Runs a trace through the scheduler in simulated time. Workers are simulated by a queue of due events; everything runs in
 * one loop on the calling thread.
 */
public final class ReplayLoop {
    private static final long FAILURE_DELAY_MS = 500;
    private static final long USAGE_REPORT_DELAY_MS = 15_000;
    private static final long MAX_TAIL_MS = 3_600_000;
    private static final long NANOS_PER_US = 1_000;
    private static final long MAX_DECISION_US = 60_000_000;

    private final List<TraceLine> lines;
    private final long startDelayMs;
    private final Scheduler scheduler;
    private final BiConsumer<Long, Decision> decisionSink;
    private final LongConsumer progress;
    private final LeaseTable leases = new LeaseTable();
    private final PriorityQueue<DueEvent> queue =
            new PriorityQueue<>(Comparator.comparingLong(DueEvent::atMs).thenComparingLong(DueEvent::sequence));
    private final Map<String, Worker> workers = new HashMap<>();
    private final Map<String, Workspace> workspaces = new HashMap<>();
    private final Map<String, WorkClass> classes = new HashMap<>();
    private final Map<String, ReplayedJob> jobs = new LinkedHashMap<>();
    private final Map<Attempt, LiveAttempt> liveAttempts = new LinkedHashMap<>();
    private final Map<String, Set<Attempt>> liveAttemptsByWorker = new HashMap<>();
    private final Set<String> unresponsiveWorkers = new HashSet<>();
    private final Set<String> failingWorkers = new HashSet<>();
    private final Map<String, Resources> waitingDemandByWorkspace = new HashMap<>();
    private final InvariantChecker invariantChecker = new InvariantChecker();
    private final TimeWeightedMeasures measures = new TimeWeightedMeasures();
    private final Histogram decisionUs = new Histogram(MAX_DECISION_US, 3);
    private final ReplayCounts counts = new ReplayCounts();
    private Resources allocatedOnResponsive = Resources.NONE;
    private long waitingTasks;
    private long waitingFiniteTasks;
    private long runningFiniteTasks;
    private long nextSequence;
    private long nowMs;

    /** A report about an attempt that is due at a time. */
    private record DueEvent(long atMs, long sequence, LiveAttempt liveAttempt, Kind kind) {
        /** The kind of report. */
        enum Kind {
            END,
            FAIL,
            USAGE
        }
    }

    /**
     * Creates a replay.
     *
     * @param lines the lines of the trace, in order of time
     * @param policy the scheduling policy
     * @param startDelayMs the delay from the placement to the start of a task, in milliseconds
     * @param decisionSink receives each decision with its time in milliseconds, in order
     * @param progress receives the number of lines applied so far
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
     * Runs the whole trace and continues until no finite work runs or waits, but at most one hour beyond the last line.
     *
     * @return the result
     */
    public ReplayResult run() {
        int nextLine = 0;
        long lastLineMs = lines.isEmpty() ? 0 : lines.get(lines.size() - 1).atMs();
        while (true) {
            long atMs = nextTimeMs(nextLine);
            boolean isPastTrace = nextLine >= lines.size();
            if (atMs == Long.MAX_VALUE || (isPastTrace && (hasNoFiniteWork() || atMs > lastLineMs + MAX_TAIL_MS))) {
                break;
            }
            nowMs = Math.max(nowMs, atMs);
            measures.advanceTo(nowMs);
            long startedNs = System.nanoTime();
            deliverDueEvents();
            while (nextLine < lines.size() && lines.get(nextLine).atMs() <= nowMs) {
                applyLine(lines.get(nextLine));
                nextLine++;
                progress.accept(nextLine);
            }
            int decisionCount = decideAll();
            recordDecisionTime(System.nanoTime() - startedNs, decisionCount);
            measures.update(nowMs, scheduler.view(), allocatedOnResponsive, waitingTasks > 0, waitingDemandByWorkspace);
        }
        return new ReplayResult(counts, measures, invariantChecker, decisionUs, List.copyOf(jobs.values()));
    }

    private void recordDecisionTime(long elapsedNs, int decisionCount) {
        if (decisionCount > 0) {
            decisionUs.recordValueWithCount(
                    Math.min(MAX_DECISION_US, Math.max(1, elapsedNs / NANOS_PER_US / decisionCount)), decisionCount);
        }
    }

    private long nextTimeMs(int nextLine) {
        long atMs = nextLine < lines.size() ? lines.get(nextLine).atMs() : Long.MAX_VALUE;
        if (!queue.isEmpty()) {
            atMs = Math.min(atMs, queue.peek().atMs());
        }
        atMs = Math.min(atMs, scheduler.nextWakeMs().orElse(Long.MAX_VALUE));
        return Math.min(atMs, leases.nextCheckMs().orElse(Long.MAX_VALUE));
    }

    private boolean hasNoFiniteWork() {
        return waitingFiniteTasks == 0 && runningFiniteTasks == 0;
    }

    // --- due events

    private void deliverDueEvents() {
        for (Attempt attempt : leases.takeExpired(nowMs)) {
            scheduler.apply(nowMs, new Event.LeaseExpired(attempt));
        }
        while (!queue.isEmpty() && queue.peek().atMs() <= nowMs) {
            deliver(queue.poll());
        }
    }

    private void deliver(DueEvent event) {
        Attempt attempt = event.liveAttempt().attempt;
        boolean isReported =
                liveAttempts.get(attempt) == event.liveAttempt() && !unresponsiveWorkers.contains(attempt.worker());
        if (!isReported) {
            return;
        }
        switch (event.kind()) {
            case END -> scheduler.apply(nowMs, new Event.AttemptEnded(attempt));
            case FAIL -> scheduler.apply(nowMs, new Event.AttemptFailed(attempt));
            case USAGE ->
                scheduler.apply(
                        nowMs,
                        new Event.UsageReported(
                                attempt, event.liveAttempt().job.submission.used()));
        }
    }

    // --- trace lines

    private void applyLine(TraceLine line) {
        if (line instanceof TraceLine.WorkerLine worker) {
            announceWorker(worker.worker());
        } else if (line instanceof TraceLine.WorkspaceLine workspace) {
            setWorkspace(workspace.workspace());
        } else if (line instanceof TraceLine.ClassLine workClass) {
            classes.put(workClass.workClass().id(), workClass.workClass());
            scheduler.apply(nowMs, new Event.ClassSet(workClass.workClass()));
        } else if (line instanceof TraceLine.SubmitLine submit) {
            submitJob(submit);
        } else if (line instanceof TraceLine.CancelLine cancel) {
            cancelJob(cancel.job());
        } else if (line instanceof TraceLine.WorkerLostLine lost) {
            loseWorker(lost.worker());
        } else if (line instanceof TraceLine.WorkerBackLine back) {
            if (workers.containsKey(back.worker())) {
                announceWorker(workers.get(back.worker()));
            }
        } else if (line instanceof TraceLine.WorkerFailsLine fails) {
            if (fails.failing()) {
                failingWorkers.add(fails.worker());
            } else {
                failingWorkers.remove(fails.worker());
            }
        } else if (line instanceof TraceLine.LimitLine limit) {
            setLimits(limit.workspace(), limit.limits());
        }
    }

    private void announceWorker(Worker worker) {
        workers.put(worker.id(), worker);
        if (unresponsiveWorkers.remove(worker.id())) {
            for (Attempt attempt : liveAttemptsByWorker.getOrDefault(worker.id(), Set.of())) {
                leases.released(attempt);
                allocatedOnResponsive =
                        allocatedOnResponsive.plus(liveAttempts.get(attempt).job.perTask());
            }
        }
        invariantChecker.workerAnnounced(worker);
        scheduler.apply(nowMs, new Event.WorkerAnnounced(worker));
    }

    private void loseWorker(String worker) {
        if (!workers.containsKey(worker) || !unresponsiveWorkers.add(worker)) {
            return;
        }
        for (Attempt attempt : liveAttemptsByWorker.getOrDefault(worker, Set.of())) {
            LiveAttempt lost = liveAttempts.get(attempt);
            // A responsive worker renews its leases, so they are tracked only from the last contact on.
            leases.granted(attempt, nowMs, lost.leaseMs);
            allocatedOnResponsive = allocatedOnResponsive.minus(lost.job.perTask());
        }
        invariantChecker.workerUnresponsive(worker);
        scheduler.apply(nowMs, new Event.WorkerUnresponsive(worker));
    }

    private void setWorkspace(Workspace workspace) {
        workspaces.put(workspace.id(), workspace);
        invariantChecker.limitsChanged(workspace.id(), workspace.limits());
        scheduler.apply(nowMs, new Event.WorkspaceSet(workspace));
    }

    private void setLimits(String id, Limits limits) {
        Workspace workspace = workspaces.get(id);
        if (workspace != null) {
            setWorkspace(new Workspace(id, workspace.share(), limits));
        }
    }

    private void submitJob(TraceLine.SubmitLine line) {
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

    private void cancelJob(String id) {
        ReplayedJob job = jobs.get(id);
        if (job == null || job.cancelledAtMs.isPresent()) {
            return;
        }
        addWaitingTasks(job, -job.waitingTasks);
        job.cancelledAtMs = OptionalLong.of(nowMs);
        scheduler.apply(nowMs, new Event.JobCancelled(id));
    }

    // --- decisions

    private int decideAll() {
        int decisionCount = 0;
        List<Decision> allDecisions = new ArrayList<>();
        List<Decision> decisions = scheduler.decide(nowMs);
        while (!decisions.isEmpty()) {
            decisionCount += decisions.size();
            allDecisions.addAll(decisions);
            decisions.forEach(this::applyDecision);
            decisions = scheduler.decide(nowMs);
        }
        invariantChecker.checkGangs(nowMs, allDecisions, jobs);
        return decisionCount;
    }

    private void applyDecision(Decision decision) {
        decisionSink.accept(nowMs, decision);
        ReplayedJob job = jobs.get(decision.job());
        invariantChecker.check(nowMs, decision, job);
        switch (decision.action()) {
            case ACCEPT -> acceptJob(job);
            case REFUSE -> counts.refused++;
            case SET_ASIDE -> markUnschedulable(job);
            case PLACE -> placeTask(decision, job);
            case CHECKPOINT -> scheduler.apply(nowMs, new Event.AttemptCheckpointed(decision.toAttempt()));
            case STOP -> stopAttempt(decision);
            case END -> endAttempt(decision, job);
            case FAIL, LEASE_EXPIRED -> failAttemptOrJob(decision, job);
        }
    }

    private void acceptJob(ReplayedJob job) {
        counts.accepted++;
        job.accepted = true;
        if (job.isActive()) {
            addWaitingTasks(job, job.firstStartMs.length);
        }
    }

    private void markUnschedulable(ReplayedJob job) {
        counts.unschedulable.add(job.submission.job().id());
        addWaitingTasks(job, -job.waitingTasks);
        job.unschedulable = true;
    }

    private void placeTask(Decision decision, ReplayedJob job) {
        markSchedulable(job);
        counts.placements++;
        Attempt attempt = decision.toAttempt();
        LiveAttempt placed = new LiveAttempt(attempt, job, nowMs, nowMs + startDelayMs, decision.leaseMs());
        liveAttempts.put(attempt, placed);
        liveAttemptsByWorker
                .computeIfAbsent(attempt.worker(), _id -> new LinkedHashSet<>())
                .add(attempt);
        allocatedOnResponsive = allocatedOnResponsive.plus(job.perTask());
        addWaitingTasks(job, -1);
        runningFiniteTasks += job.isFinite() ? 1 : 0;
        if (job.firstStartMs[attempt.task()] < 0) {
            job.firstStartMs[attempt.task()] = placed.startsAtMs;
        }
        scheduleEvents(placed);
    }

    /** Makes a job that is placed after it was unschedulable wait again for its remaining tasks. */
    private void markSchedulable(ReplayedJob job) {
        if (job.unschedulable) {
            job.unschedulable = false;
            int liveCount = 0;
            for (LiveAttempt attempt : liveAttempts.values()) {
                liveCount += attempt.job == job ? 1 : 0;
            }
            addWaitingTasks(job, job.firstStartMs.length - job.endedTasks - liveCount);
        }
    }

    private void scheduleEvents(LiveAttempt placed) {
        if (failingWorkers.contains(placed.attempt.worker())) {
            enqueue(placed.startsAtMs + FAILURE_DELAY_MS, placed, DueEvent.Kind.FAIL);
        } else if (placed.job.isFinite()) {
            enqueue(placed.startsAtMs + placed.job.submission.actualRunMs().getAsLong(), placed, DueEvent.Kind.END);
        }
        if (!placed.job.submission.used().equals(placed.job.perTask())) {
            enqueue(placed.startsAtMs + USAGE_REPORT_DELAY_MS, placed, DueEvent.Kind.USAGE);
        }
    }

    private void enqueue(long atMs, LiveAttempt attempt, DueEvent.Kind kind) {
        queue.add(new DueEvent(atMs, nextSequence++, attempt, kind));
    }

    private void stopAttempt(Decision decision) {
        Attempt attempt = decision.toAttempt();
        LiveAttempt stopped = liveAttempts.get(attempt);
        boolean isPreempted = decision.reason() != Reason.CANCELLED;
        if (stopped != null && isPreempted) {
            stopped.preempted = true;
            counts.preempted++;
        }
        if (!unresponsiveWorkers.contains(attempt.worker())) {
            scheduler.apply(nowMs, new Event.AttemptStopped(attempt));
        }
    }

    private void endAttempt(Decision decision, ReplayedJob job) {
        LiveAttempt ended = removeAttempt(decision);
        if (decision.reason() == Reason.COMPLETED) {
            counts.ended++;
            job.taskEnded[decision.task()] = true;
            job.endedTasks++;
            return;
        }
        if (ended != null && ended.preempted) {
            countLostWork(ended);
        }
        requeueTask(job);
    }

    private void failAttemptOrJob(Decision decision, ReplayedJob job) {
        if (decision.task() == Decision.WHOLE_JOB) {
            addWaitingTasks(job, -job.waitingTasks);
            job.failed = true;
            return;
        }
        LiveAttempt lost = removeAttempt(decision);
        if (lost != null) {
            countLostWork(lost);
        }
        requeueTask(job);
    }

    private void countLostWork(LiveAttempt lost) {
        counts.lostWorkMs += Math.max(0, nowMs - lost.startsAtMs);
    }

    /** Adds a task to the waiting tasks; a gang restarts as a whole, so its ended tasks wait again too. */
    private void requeueTask(ReplayedJob job) {
        if (!job.isActive()) {
            return;
        }
        boolean isGang = job.workClass.kind() == ClassKind.GANG;
        if (isGang && job.endedTasks > 0) {
            addWaitingTasks(job, job.endedTasks);
            Arrays.fill(job.taskEnded, false);
            job.endedTasks = 0;
        }
        addWaitingTasks(job, 1);
    }

    private LiveAttempt removeAttempt(Decision decision) {
        Attempt attempt = decision.toAttempt();
        LiveAttempt removed = liveAttempts.remove(attempt);
        if (removed == null) {
            return null;
        }
        liveAttemptsByWorker.get(attempt.worker()).remove(attempt);
        leases.released(attempt);
        runningFiniteTasks -= removed.job.isFinite() ? 1 : 0;
        if (!unresponsiveWorkers.contains(attempt.worker())) {
            allocatedOnResponsive = allocatedOnResponsive.minus(removed.job.perTask());
        }
        return removed;
    }

    private void addWaitingTasks(ReplayedJob job, int change) {
        job.waitingTasks += change;
        waitingTasks += change;
        waitingFiniteTasks += job.isFinite() ? change : 0;
        waitingDemandByWorkspace.merge(
                job.submission.job().workspace(), job.perTask().times(change), Resources::plus);
    }
}
