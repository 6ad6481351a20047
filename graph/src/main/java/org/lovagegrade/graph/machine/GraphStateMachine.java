package org.lovagegrade.graph.machine;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lovagegrade.wire.proto.CallerOutcomeProto;
import org.lovagegrade.wire.proto.CallerReplyProto;
import org.lovagegrade.wire.proto.DocumentReplyProto;
import org.lovagegrade.wire.proto.EndProto;
import org.lovagegrade.wire.proto.EndsProto;
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

/**
 * The replicated state: the desired state, jobs with their tasks, runs, and workers. The same commands in the same order
 * give the same state on every replica.
 *
 * <p>Example: {@code GraphReplyProto reply = machine.apply(command);}
 */
public final class GraphStateMachine {
    private static final int DEFAULT_MAX_ATTEMPTS = 1;

    private final JobRegister jobs;
    private final RunRegister runs = new RunRegister();
    private final Map<String, QueueProto> knownQueues = new TreeMap<>();
    private FleetConfiguration document;
    private GraphStateListener listener = GraphStateListener.NONE;
    private long clockMs;

    private GraphStateMachine(long keepEndedMs) {
        this.jobs = new JobRegister(keepEndedMs);
    }

    /**
     * Creates a machine without a desired state.
     *
     * @param keepEndedMs how long the state of an ended job can be asked for, in milliseconds
     * @return the machine
     */
    public static GraphStateMachine withRetention(long keepEndedMs) {
        return new GraphStateMachine(keepEndedMs);
    }

    /**
     * Sets who hears what is applied.
     *
     * @param heard the listener
     */
    public void setListener(GraphStateListener heard) {
        listener = heard;
    }

    /**
     * The desired state in force.
     *
     * @return the document, or empty before the first
     */
    public Optional<FleetConfiguration> configuration() {
        return Optional.ofNullable(document);
    }

    /**
     * Finds a job.
     *
     * @param id its id
     * @return the job, or empty if there is none or it ended long ago
     */
    public Optional<JobRecord> job(String id) {
        return jobs.find(id);
    }

    /**
     * The jobs that are not over, in the order of their acceptance.
     *
     * @return the jobs
     */
    public Collection<JobRecord> activeJobs() {
        return jobs.active();
    }

    /**
     * The workers that were not given up.
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
     * What a workspace has running.
     *
     * @param workspace its name
     * @return the sum over all runs whose end is not committed
     */
    public ResourceVector usedBy(String workspace) {
        return runs.usedBy(workspace);
    }

    /**
     * Finds a queue, also one that the desired state no longer holds.
     *
     * @param name its name
     * @return the queue as last seen, or empty if no version held it
     */
    public Optional<QueueProto> queue(String name) {
        return Optional.ofNullable(knownQueues.get(name));
    }

    /**
     * Applies a command.
     *
     * @param command the command
     * @return the answer for whoever proposed it
     */
    public GraphReplyProto apply(GraphCommandProto command) {
        clockMs = Math.max(clockMs, command.getAtMs());
        jobs.forgetOld(clockMs);
        switch (command.getBodyCase()) {
            case CONFIGURE -> {
                return configure(command.getConfigure());
            }
            case SUBMIT -> {
                return submit(command.getSubmit());
            }
            case CANCEL -> {
                return cancel(command.getCancel());
            }
            case START -> start(command.getStart());
            case END -> end(command.getEnd());
            case WORKER -> worker(command.getWorker());
            case WORKER_GONE -> workerGone(command.getWorkerGone());
            default -> {}
        }
        return GraphReplyProto.getDefaultInstance();
    }

    // --- desired state

    private GraphReplyProto configure(FleetDocumentProto sent) {
        long present = document == null ? Long.MIN_VALUE : document.proto().getVersion();
        if (sent.getVersion() == present
                && !sent.getSource().equals(document.proto().getSource())) {
            return documentReply(false, "version " + present + " is in force with other content");
        }
        if (sent.getVersion() > present) {
            install(FleetConfiguration.of(sent));
            listener.configurationChanged();
        }
        return documentReply(true, "");
    }

    private void install(FleetConfiguration fresh) {
        document = fresh;
        fresh.proto().getQueuesList().forEach(queue -> knownQueues.put(queue.getName(), queue));
    }

    private GraphReplyProto documentReply(boolean accepted, String reason) {
        return GraphReplyProto.newBuilder()
                .setDocument(DocumentReplyProto.newBuilder()
                        .setAccepted(accepted)
                        .setReason(reason)
                        .setVersion(document.proto().getVersion()))
                .build();
    }

    // --- jobs

    private GraphReplyProto submit(GraphProto graph) {
        if (jobs.find(graph.getId()).isEmpty()) {
            JobRecord job = new JobRecord(graph, clockMs);
            jobs.add(job);
            listener.jobAccepted(job);
        }
        return callerReply(CallerOutcomeProto.CALLER_OK);
    }

    private GraphReplyProto cancel(String id) {
        Optional<JobRecord> job = jobs.find(id);
        if (job.isEmpty()) {
            return callerReply(CallerOutcomeProto.CALLER_GONE);
        }
        if (!job.get().isOver()) {
            finish(job.get(), GraphStateProto.GRAPH_CANCELLED);
        }
        return callerReply(CallerOutcomeProto.CALLER_OK);
    }

    private void finish(JobRecord job, GraphStateProto state) {
        jobs.end(job, state, clockMs);
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

    private void start(StartsProto starts) {
        for (List<StartProto> group : groupsOf(starts)) {
            boolean isPossible = group.stream().allMatch(this::mayStart);
            for (StartProto start : group) {
                if (isPossible) {
                    begin(start);
                } else {
                    listener.startRejected(new RunKey(TaskKey.of(start.getTask()), start.getRun()));
                }
            }
        }
    }

    /** A gang's members start together or not at all; every other start stands alone. */
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

    private boolean mayStart(StartProto start) {
        TaskKey key = TaskKey.of(start.getTask());
        Optional<StepRecord> step = jobs.stepOf(key);
        if (step.isEmpty() || step.get().job().isOver()) {
            return false;
        }
        TaskRecord task = step.get().tasks().get(key.index());
        Optional<WorkerRecord> worker = runs.worker(start.getWorker(), start.getBornMs());
        return task.isWaiting()
                && start.getRun() > task.run
                && worker.isPresent()
                && !worker.get().info.getDraining()
                && !runs.runs().containsKey(new RunKey(key, task.run));
    }

    private void begin(StartProto start) {
        TaskKey key = TaskKey.of(start.getTask());
        StepRecord step = jobs.stepOf(key).orElseThrow();
        TaskRecord task = step.tasks().get(key.index());
        step.move(task, TaskStateGraphProto.GRAPH_TASK_RUNNING);
        task.run = start.getRun();
        if (step.job().state == GraphStateProto.GRAPH_QUEUED) {
            step.job().state = GraphStateProto.GRAPH_RUNNING;
        }
        RunRecord run = RunRecord.of(start, step);
        runs.take(run);
        listener.runStarted(run);
    }

    // --- ends

    private void end(EndsProto ends) {
        Optional<WorkerRecord> known = runs.worker(ends.getWorker(), ends.getBornMs());
        if (known.isEmpty()) {
            return;
        }
        WorkerRecord worker = known.get();
        worker.cursor = Math.max(worker.cursor, ends.getCursor());
        for (EndProto end : ends.getEndsList()) {
            RunRecord run = worker.runs().get(new RunKey(TaskKey.of(end.getTask()), end.getRun()));
            if (run != null) {
                endRun(run, end.getHow(), end.getCheckpoint());
            }
        }
    }

    private void endRun(RunRecord run, RunEndProto how, String checkpoint) {
        boolean wasUnwanted = run.isObsolete();
        runs.release(run);
        listener.runEnded(run, how);
        if (wasUnwanted) {
            return;
        }
        StepRecord step = run.step();
        TaskRecord task = step.tasks().get(run.key().task().index());
        step.move(task, TaskStateGraphProto.GRAPH_TASK_WAITING);
        keepCheckpoint(step, task, checkpoint);
        if (how == RunEndProto.RUN_DONE && !step.spec().getLasting()) {
            complete(step, task);
        } else if (how == RunEndProto.RUN_FAILED) {
            countFailure(step, task, run.key().run());
        }
    }

    private static void keepCheckpoint(StepRecord step, TaskRecord task, String checkpoint) {
        if (checkpoint.isEmpty()) {
            return;
        }
        if (step.spec().getGang()) {
            step.tasks().forEach(member -> member.checkpoint = checkpoint);
        } else {
            task.checkpoint = checkpoint;
        }
    }

    private void complete(StepRecord step, TaskRecord task) {
        List<TaskRecord> completed = step.spec().getGang() ? step.tasks() : List.of(task);
        for (TaskRecord each : completed) {
            step.move(each, TaskStateGraphProto.GRAPH_TASK_DONE);
        }
        if (step.job().allDone()) {
            finish(step.job(), GraphStateProto.GRAPH_COMPLETED);
        } else if (step.spec().getGang()) {
            List.copyOf(step.runs()).forEach(listener::runObsolete);
        }
    }

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
                .filter(most -> most > 0)
                .orElse(DEFAULT_MAX_ATTEMPTS);
    }

    // --- workers

    private void worker(WorkerProto said) {
        WorkerRecord present = runs.workers().get(said.getId());
        if (present != null && present.info.getBornMs() == said.getBornMs()) {
            present.info = said;
            listener.workerChanged(present);
            return;
        }
        for (WorkerRecord other : List.copyOf(runs.workers().values())) {
            boolean isFormerLife = other == present || other.info.getAddress().equals(said.getAddress());
            if (isFormerLife) {
                remove(other);
            }
        }
        WorkerRecord fresh = new WorkerRecord(said);
        runs.add(fresh);
        listener.workerChanged(fresh);
    }

    private void workerGone(WorkerGoneProto gone) {
        runs.worker(gone.getWorker(), gone.getBornMs()).ifPresent(this::remove);
    }

    private void remove(WorkerRecord worker) {
        for (RunRecord run : List.copyOf(worker.runs().values())) {
            endRun(run, RunEndProto.RUN_LOST, "");
        }
        runs.remove(worker);
        listener.workerRemoved(worker);
    }

    // --- snapshots

    /**
     * Writes the whole state down.
     *
     * @return a snapshot for {@link #restore(ByteString)}
     */
    public ByteString snapshot() {
        GraphSnapshotProto.Builder snapshot = GraphSnapshotProto.newBuilder().setClockMs(clockMs);
        if (document != null) {
            snapshot.setDocument(document.proto());
        }
        snapshot.addAllKnownQueues(knownQueues.values());
        jobs.writeTo(snapshot);
        runs.writeTo(snapshot);
        return snapshot.build().toByteString();
    }

    /**
     * Replaces the whole state.
     *
     * @param data what {@link #snapshot()} gave
     */
    public void restore(ByteString data) {
        GraphSnapshotProto snapshot = parse(data);
        knownQueues.clear();
        clockMs = snapshot.getClockMs();
        document = null;
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
