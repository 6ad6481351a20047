package org.lovagegrade.graph.machine;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.lovagegrade.wire.proto.CallerOutcomeProto;
import org.lovagegrade.wire.proto.CallerReplyProto;
import org.lovagegrade.wire.proto.DocumentReplyProto;
import org.lovagegrade.wire.proto.EndProto;
import org.lovagegrade.wire.proto.EndsProto;
import org.lovagegrade.wire.proto.EvacuationOrderProto;
import org.lovagegrade.wire.proto.EvacuationReplyProto;
import org.lovagegrade.wire.proto.FleetDocumentProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.GraphReplyProto;
import org.lovagegrade.wire.proto.GraphSnapshotProto;
import org.lovagegrade.wire.proto.GraphStateProto;
import org.lovagegrade.wire.proto.QueueProto;
import org.lovagegrade.wire.proto.RunEndProto;
import org.lovagegrade.wire.proto.StartProto;
import org.lovagegrade.wire.proto.StartsProto;
import org.lovagegrade.wire.proto.TaskStateGraphProto;
import org.lovagegrade.wire.proto.WorkerGoneProto;
import org.lovagegrade.wire.proto.WorkerProto;
import org.lovagegrade.wire.proto.WorkerSuccessionProto;

/**
 * The replicated state: the configuration, jobs with their tasks, runs, and workers. It is deterministic: the same
 * commands in the same order give the same state on every replica.
 *
 * <p>Example: {@code GraphReplyProto reply = machine.apply(command);}
 */
public final class GraphStateMachine {
    private static final int DEFAULT_MAX_ATTEMPTS = 1;

    private final JobRegistry jobs;
    private final RunRegistry runs = new RunRegistry();
    private final Map<String, QueueProto> knownQueues = new TreeMap<>();
    private final Evacuations evacuations = new Evacuations();
    private FleetConfiguration configuration;
    private GraphStateListener listener = GraphStateListener.NONE;
    private long clockMs;

    private GraphStateMachine(long retentionMs) {
        this.jobs = new JobRegistry(retentionMs);
    }

    /**
     * Creates an empty state machine.
     *
     * @param retentionMs how long a finished job can still be looked up, in milliseconds
     * @return a state machine without a configuration
     */
    public static GraphStateMachine withRetention(long retentionMs) {
        return new GraphStateMachine(retentionMs);
    }

    /**
     * Sets the listener for applied changes; it replaces the present one.
     *
     * @param newListener the listener
     */
    public void setListener(GraphStateListener newListener) {
        listener = newListener;
    }

    /**
     * The configuration in force.
     *
     * @return the latest version, or empty before the first
     */
    public Optional<FleetConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /**
     * Finds a job.
     *
     * @param id its id
     * @return the job, or empty if it is unknown or its retention time has passed
     */
    public Optional<JobRecord> job(String id) {
        return jobs.find(id);
    }

    /**
     * The jobs that are not finished, in the order of their acceptance.
     *
     * @return the jobs
     */
    public Collection<JobRecord> activeJobs() {
        return jobs.active();
    }

    /**
     * The workers that were not removed.
     *
     * @return the workers by their ids
     */
    public Map<String, WorkerRecord> workers() {
        return runs.workers();
    }

    /**
     * The runs whose end is not committed.
     *
     * @return the runs by their keys
     */
    public Map<RunKey, RunRecord> runs() {
        return runs.runs();
    }

    /**
     * The resources that a workspace uses.
     *
     * @param workspace its name
     * @return the sum over its runs whose end is not committed
     */
    public ResourceVector usedBy(String workspace) {
        return runs.usedBy(workspace);
    }

    /**
     * Finds a queue, also one that was removed from the configuration, since its jobs continue.
     *
     * @param name its name
     * @return the queue as last configured, or empty if no version had it
     */
    public Optional<QueueProto> queue(String name) {
        return Optional.ofNullable(knownQueues.get(name));
    }

    /**
     * Whether a version of the configuration has named a pool.
     *
     * @param pool its name
     * @return true if the present version or the last one of a queue names it, or before the first version
     */
    public boolean isKnownPool(String pool) {
        return configuration == null
                || configuration.proto().getPoolsList().stream()
                        .anyMatch(known -> known.getName().equals(pool))
                || knownQueues.values().stream()
                        .anyMatch(queue -> queue.getPool().equals(pool));
    }

    /**
     * The failure domains in which nothing may be started.
     *
     * @return the last orders about all failure domains
     */
    public Evacuations evacuations() {
        return evacuations;
    }

    /**
     * The time of the latest command.
     *
     * @return the time in milliseconds since 1970, by the clocks of the leaders; 0 before the first command
     */
    public long clockMs() {
        return clockMs;
    }

    /**
     * Applies a command.
     *
     * @param command the command
     * @return the reply to its proposer
     */
    public GraphReplyProto apply(GraphCommandProto command) {
        clockMs = Math.max(clockMs, command.getAtMs());
        jobs.removeExpired(clockMs);
        switch (command.getBodyCase()) {
            case CONFIGURE -> {
                return configure(command.getConfigure());
            }
            case SUBMIT -> {
                return submit(command.getSubmit());
            }
            case CANCEL -> {
                return cancel(command.getCancel(), command.hasGiveUp());
            }
            case EVACUATION -> {
                return evacuate(command.getEvacuation());
            }
            case START -> applyStarts(command.getStart());
            case BEGUN ->
                command.getBegun().getJobsList().forEach(id -> jobs.find(id).ifPresent(this::begin));
            case UNANSWERED_STARTS ->
                command.getUnansweredStarts().getRunsList().forEach(run -> markUnanswered(RunKey.of(run)));
            case END -> applyEnds(command.getEnd());
            case WORKER -> applyWorker(command.getWorker());
            case WORKER_GONE -> applyWorkerGone(command.getWorkerGone());
            case SUCCESSION -> applySuccession(command.getSuccession());
            default -> {}
        }
        return GraphReplyProto.getDefaultInstance();
    }

    // --- configuration

    private GraphReplyProto configure(FleetDocumentProto submitted) {
        if (configuration == null
                || submitted.getVersion() > configuration.proto().getVersion()) {
            install(FleetConfiguration.of(submitted));
            listener.configurationChanged();
            return configurationReply(true, "");
        }
        boolean isOtherContent = submitted.getVersion() == configuration.proto().getVersion()
                && !submitted.getSource().equals(configuration.proto().getSource());
        return isOtherContent
                ? configurationReply(false, "version " + submitted.getVersion() + " is in force with other content")
                : configurationReply(true, "");
    }

    private void install(FleetConfiguration installed) {
        configuration = installed;
        installed.proto().getQueuesList().forEach(queue -> knownQueues.put(queue.getName(), queue));
    }

    private GraphReplyProto configurationReply(boolean accepted, String reason) {
        return GraphReplyProto.newBuilder()
                .setDocument(DocumentReplyProto.newBuilder()
                        .setAccepted(accepted)
                        .setReason(reason)
                        .setVersion(configuration.proto().getVersion()))
                .build();
    }

    // --- evacuations

    private GraphReplyProto evacuate(EvacuationOrderProto order) {
        Evacuations.Outcome outcome = evacuations.apply(order, clockMs);
        EvacuationReplyProto.Builder reply = EvacuationReplyProto.newBuilder();
        evacuations.last(order.getFailureDomain()).ifPresent(last -> {
            reply.addEvacuations(last.toProto());
            if (outcome == Evacuations.Outcome.CHANGED) {
                listener.evacuationChanged(last);
            }
        });
        if (outcome == Evacuations.Outcome.SUPERSEDED) {
            reply.setReason("another order about '" + order.getFailureDomain() + "' was committed in the meantime");
        }
        return GraphReplyProto.newBuilder()
                .setEvacuation(reply.setAccepted(outcome != Evacuations.Outcome.SUPERSEDED))
                .build();
    }

    // --- jobs

    private GraphReplyProto submit(GraphProto graph) {
        Optional<String> fault = GraphLimits.faultOf(graph);
        if (fault.isPresent()) {
            return GraphReplyProto.newBuilder()
                    .setCaller(CallerReplyProto.newBuilder()
                            .setOutcome(CallerOutcomeProto.CALLER_INVALID)
                            .setReason(fault.get()))
                    .build();
        }
        if (jobs.find(graph.getId()).isEmpty()) {
            JobRecord job = new JobRecord(graph, clockMs);
            jobs.add(job);
            listener.jobAccepted(job);
        }
        return callerReply(CallerOutcomeProto.CALLER_OK);
    }

    /** Ends a job: cancelled by its caller, or failed because the scheduler gives it up. */
    private GraphReplyProto cancel(String id, boolean isGivenUp) {
        Optional<JobRecord> job = jobs.find(id);
        if (job.isEmpty()) {
            return callerReply(CallerOutcomeProto.CALLER_GONE);
        }
        if (!job.get().isFinished()) {
            finish(job.get(), isGivenUp ? GraphStateProto.GRAPH_FAILED : GraphStateProto.GRAPH_CANCELLED);
        }
        return callerReply(CallerOutcomeProto.CALLER_OK);
    }

    private void finish(JobRecord job, GraphStateProto state) {
        jobs.finish(job, state, clockMs);
        listener.jobFinished(job);
        for (List<StepRecord> steps : job.occurrences()) {
            steps.forEach(step -> List.copyOf(step.runs()).forEach(listener::runObsolete));
        }
    }

    private static GraphReplyProto callerReply(CallerOutcomeProto outcome) {
        return GraphReplyProto.newBuilder()
                .setCaller(CallerReplyProto.newBuilder().setOutcome(outcome))
                .build();
    }

    // --- starts

    private void applyStarts(StartsProto starts) {
        for (List<StartProto> group : groupsOf(starts)) {
            boolean canStartAll = group.stream().allMatch(this::canStart);
            for (StartProto start : group) {
                if (canStartAll) {
                    startRun(start);
                } else {
                    listener.startRejected(new RunKey(TaskKey.of(start.getTask()), start.getRun()));
                }
            }
        }
    }

    /** The members of a gang are one group and start together or not at all; any other start is its own group. */
    private List<List<StartProto>> groupsOf(StartsProto starts) {
        Map<String, List<StartProto>> groups = new LinkedHashMap<>();
        for (StartProto start : starts.getStartsList()) {
            TaskKey key = TaskKey.of(start.getTask());
            boolean isGang =
                    jobs.stepOf(key).map(found -> found.spec().getGang()).orElse(false);
            groups.computeIfAbsent(isGang ? key.stepName() : key.toString(), _name -> new ArrayList<>())
                    .add(start);
        }
        return List.copyOf(groups.values());
    }

    private boolean canStart(StartProto start) {
        TaskKey key = TaskKey.of(start.getTask());
        Optional<StepRecord> step = jobs.stepOf(key);
        if (step.isEmpty() || step.get().job().isFinished()) {
            return false;
        }
        TaskRecord task = step.get().tasks().get(key.index());
        Optional<WorkerRecord> worker = runs.worker(start.getWorker(), start.getBornMs());
        return task.isWaiting()
                && start.getRun() > task.run
                && worker.isPresent()
                && !worker.get().info.getDraining()
                && !evacuations.isEvacuated(worker.get().info.getFailureDomain())
                && !runs.runs().containsKey(new RunKey(key, task.run));
    }

    private void startRun(StartProto start) {
        TaskKey key = TaskKey.of(start.getTask());
        StepRecord step = jobs.stepOf(key).orElseThrow();
        TaskRecord task = step.tasks().get(key.index());
        step.setState(task, TaskStateGraphProto.GRAPH_TASK_RUNNING);
        task.run = start.getRun();
        RunRecord run = RunRecord.of(
                start.toBuilder().setStartedAtMs(clockMs).setUnanswered(false).build(), step);
        runs.addRun(run);
        listener.runStarted(run);
    }

    /** Records that an order to start a run went unanswered; a run that has ended meanwhile needs no mark. */
    private void markUnanswered(RunKey key) {
        RunRecord run = runs.runs().get(key);
        if (run != null && !run.isStartUnanswered()) {
            runs.replaceRun(run.withUnansweredStart());
        }
    }

    /** Records that a worker has begun a task of the job; a committed start alone only intends that. */
    private void begin(JobRecord job) {
        if (job.state == GraphStateProto.GRAPH_QUEUED) {
            job.state = GraphStateProto.GRAPH_RUNNING;
            listener.jobBegun(job);
        }
    }

    // --- ends

    private void applyEnds(EndsProto ends) {
        Optional<WorkerRecord> known = runs.worker(ends.getWorker(), ends.getBornMs());
        if (known.isEmpty()) {
            return;
        }
        WorkerRecord worker = known.get();
        worker.cursor = Math.max(worker.cursor, ends.getCursor());
        for (EndProto end : ends.getEndsList()) {
            if (end.hasLoss()) {
                recordLoss(end);
            }
            RunRecord run = worker.runs().get(new RunKey(TaskKey.of(end.getTask()), end.getRun()));
            if (run != null) {
                endRun(run, end.getHow(), end.getCheckpoint());
            }
        }
    }

    private void recordLoss(EndProto end) {
        TaskKey key = TaskKey.of(end.getTask());
        Optional<StepRecord> step =
                jobs.stepOf(key).filter(found -> !found.job().isFinished());
        if (step.isPresent()) {
            TaskRecord task = step.get().tasks().get(key.index());
            task.crashHistory = task.crashHistory.plus(end.getRun(), end.getLoss());
            step.get().job().noteIfCrashing(step.get(), key.index());
        }
    }

    private void endRun(RunRecord run, RunEndProto runEnd, String checkpoint) {
        boolean wasObsolete = run.isObsolete();
        runs.removeRun(run);
        if (provesBeginning(runEnd) || !checkpoint.isEmpty()) {
            begin(run.step().job());
        }
        listener.runEnded(run, runEnd);
        if (wasObsolete) {
            return;
        }
        StepRecord step = run.step();
        TaskRecord task = step.tasks().get(run.key().task().index());
        step.setState(task, TaskStateGraphProto.GRAPH_TASK_WAITING);
        saveCheckpoint(step, task, checkpoint);
        if (runEnd == RunEndProto.RUN_DONE && !step.spec().getLasting()) {
            complete(step, task);
        } else if (runEnd == RunEndProto.RUN_FAILED) {
            countFailure(step, task, run.key().run());
        }
    }

    /** Whether only a run that has begun can end in this way. */
    private static boolean provesBeginning(RunEndProto runEnd) {
        return runEnd != RunEndProto.RUN_REFUSED && runEnd != RunEndProto.RUN_LOST;
    }

    private static void saveCheckpoint(StepRecord step, TaskRecord task, String checkpoint) {
        if (checkpoint.isEmpty()) {
            return;
        }
        if (step.spec().getGang()) {
            step.tasks().forEach(member -> member.checkpoint = checkpoint);
        } else {
            task.checkpoint = checkpoint;
        }
    }

    /** Completes a task, or all members of a gang as soon as one of them is done. */
    private void complete(StepRecord step, TaskRecord task) {
        List<TaskRecord> completed = step.spec().getGang() ? step.tasks() : List.of(task);
        for (TaskRecord each : completed) {
            step.setState(each, TaskStateGraphProto.GRAPH_TASK_DONE);
        }
        if (step.job().areAllStepsDone()) {
            finish(step.job(), GraphStateProto.GRAPH_COMPLETED);
        } else if (step.spec().getGang()) {
            List.copyOf(step.runs()).forEach(listener::runObsolete);
        }
    }

    /** Counts a failure and fails the job at its limit; a gang's run counts once, and lasting steps have no limit. */
    private void countFailure(StepRecord step, TaskRecord task, int run) {
        if (step.spec().getLasting()) {
            task.failures++;
            return;
        }
        int failures;
        if (step.spec().getGang()) {
            step.gangFailures += step.gangFailedRun == run ? 0 : 1;
            step.gangFailedRun = run;
            failures = step.gangFailures;
        } else {
            task.failures++;
            failures = task.failures;
        }
        if (failures >= maxAttempts(step.job())) {
            finish(step.job(), GraphStateProto.GRAPH_FAILED);
        }
    }

    private int maxAttempts(JobRecord job) {
        return queue(job.graph().getQueue())
                .map(QueueProto::getMaxAttempts)
                .filter(max -> max > 0)
                .orElse(DEFAULT_MAX_ATTEMPTS);
    }

    // --- workers

    private void applyWorker(WorkerProto reported) {
        WorkerRecord present = runs.workers().get(reported.getId());
        if (present != null && present.info.getBornMs() == reported.getBornMs()) {
            present.info = reported;
            listener.workerChanged(present);
            return;
        }
        replaceIncarnations(present, reported, List.of());
    }

    /** Replaces the former incarnations of a worker by a new one, to which the given runs move. */
    private void replaceIncarnations(WorkerRecord present, WorkerProto reported, List<RunRecord> adopted) {
        adopted.forEach(runs::removeRun);
        for (WorkerRecord other : List.copyOf(runs.workers().values())) {
            boolean isPreviousIncarnation =
                    other == present || other.info.getAddress().equals(reported.getAddress());
            if (isPreviousIncarnation) {
                remove(other);
            }
        }
        WorkerRecord added = new WorkerRecord(reported);
        runs.addWorker(added);
        adopted.forEach(run -> runs.addRun(run.movedTo(reported.getBornMs())));
        listener.workerChanged(added);
    }

    /** A succession of an incarnation that has been removed meanwhile only adds the new one. */
    private void applySuccession(WorkerSuccessionProto succession) {
        WorkerProto reported = succession.getWorker();
        WorkerRecord present = runs.workers().get(reported.getId());
        if (present == null || present.info.getBornMs() != succession.getFormerBornMs()) {
            applyWorker(reported);
            return;
        }
        List<RunRecord> adopted = succession.getAdoptedList().stream()
                .map(RunKey::of)
                .distinct()
                .map(present.runs()::get)
                .filter(Objects::nonNull)
                .toList();
        replaceIncarnations(present, reported, adopted);
    }

    private void applyWorkerGone(WorkerGoneProto gone) {
        runs.worker(gone.getWorker(), gone.getBornMs()).ifPresent(this::remove);
    }

    private void remove(WorkerRecord worker) {
        for (RunRecord run : List.copyOf(worker.runs().values())) {
            endRun(run, RunEndProto.RUN_LOST, "");
        }
        runs.removeWorker(worker);
        listener.workerRemoved(worker);
    }

    // --- snapshots

    /**
     * Serializes the whole state.
     *
     * @return a snapshot for {@link #restore(ByteString)}
     */
    public ByteString snapshot() {
        GraphSnapshotProto.Builder snapshot = GraphSnapshotProto.newBuilder().setClockMs(clockMs);
        if (configuration != null) {
            snapshot.setDocument(configuration.proto());
        }
        snapshot.addAllKnownQueues(knownQueues.values());
        evacuations.writeTo(snapshot);
        jobs.writeTo(snapshot);
        runs.writeTo(snapshot);
        return snapshot.build().toByteString();
    }

    /**
     * Replaces the whole state.
     *
     * @param data a snapshot from {@link #snapshot()}
     * @throws IllegalStateException if the data is not a snapshot
     */
    public void restore(ByteString data) {
        GraphSnapshotProto snapshot = parse(data);
        knownQueues.clear();
        evacuations.restore(snapshot);
        clockMs = snapshot.getClockMs();
        configuration = null;
        snapshot.getKnownQueuesList().forEach(queue -> knownQueues.put(queue.getName(), queue));
        if (snapshot.hasDocument()) {
            install(FleetConfiguration.of(snapshot.getDocument()));
        }
        jobs.restore(snapshot);
        runs.restore(snapshot, jobs);
    }

    private static GraphSnapshotProto parse(ByteString data) {
        try {
            return GraphSnapshotProto.parseFrom(data);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("expected: a snapshot of job graphs\n  actual: " + e.getMessage(), e);
        }
    }
}
