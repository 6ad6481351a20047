package org.lovagegrade.graph.machine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lovagegrade.wire.proto.GraphJobProto;
import org.lovagegrade.wire.proto.GraphOccurrenceProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.GraphStateProto;

/** An accepted job. */
public final class JobRecord {
    private final GraphProto graph;
    private final long acceptedAtMs;
    private final List<List<StepRecord>> occurrences = new ArrayList<>();
    GraphStateProto state = GraphStateProto.GRAPH_QUEUED;
    long finishedAtMs;
    int waitingTasks;
    private TaskKey crashingTask;

    JobRecord(GraphProto graph, long acceptedAtMs) {
        this.graph = graph;
        this.acceptedAtMs = acceptedAtMs;
        long count = Math.max(1, graph.getOccurrences());
        for (int occurrence = 0; occurrence < count; occurrence++) {
            List<StepRecord> steps = new ArrayList<>();
            for (int step = 0; step < graph.getStepsCount(); step++) {
                steps.add(new StepRecord(this, occurrence, step, graph.getSteps(step)));
            }
            occurrences.add(List.copyOf(steps));
        }
    }

    /**
     * The job's id.
     *
     * @return the id that the caller chose
     */
    public String id() {
        return graph.getId();
    }

    /**
     * The job as it was submitted.
     *
     * @return the message
     */
    public GraphProto graph() {
        return graph;
    }

    /**
     * The present state.
     *
     * @return the state
     */
    public GraphStateProto state() {
        return state;
    }

    /**
     * When the job was accepted.
     *
     * @return milliseconds since 1970
     */
    public long acceptedAtMs() {
        return acceptedAtMs;
    }

    /**
     * Whether the job is finished.
     *
     * @return true if it is completed, failed or cancelled
     */
    public boolean isFinished() {
        return state != GraphStateProto.GRAPH_QUEUED && state != GraphStateProto.GRAPH_RUNNING;
    }

    /**
     * The steps of all occurrences.
     *
     * @return a list of steps for each occurrence
     */
    public List<List<StepRecord>> occurrences() {
        return occurrences;
    }

    /**
     * Finds a step.
     *
     * @param occurrence the number of the occurrence, from 0
     * @param step the number of the step, from 0
     * @return the step
     */
    public StepRecord step(int occurrence, int step) {
        return occurrences.get(occurrence).get(step);
    }

    /**
     * The number of tasks that wait for a run.
     *
     * @return the number over all occurrences, also those that are not yet due
     */
    public int waitingTasks() {
        return waitingTasks;
    }

    /**
     * When an occurrence is due.
     *
     * @param occurrence its number, from 0
     * @return milliseconds since 1970; the time of acceptance for a job that runs once
     */
    public long dueAtMs(int occurrence) {
        return graph.getOccurrences() > 0 ? graph.getFirstDueMs() + occurrence * graph.getIntervalMs() : acceptedAtMs;
    }

    /**
     * A task that must not be started any more, since it crashes its workers.
     *
     * @return the first such task that was noticed, or empty
     */
    public Optional<TaskKey> crashingTask() {
        return Optional.ofNullable(crashingTask);
    }

    void noteIfCrashing(StepRecord step, int index) {
        boolean isCrashing = step.tasks().get(index).crashHistory().mustBeGivenUp();
        if (isCrashing && crashingTask == null) {
            crashingTask = step.key(index);
        }
    }

    boolean hasTask(TaskKey key) {
        return key.occurrence() >= 0
                && key.occurrence() < occurrences.size()
                && key.step() >= 0
                && key.step() < occurrences.get(key.occurrence()).size()
                && key.index() >= 0
                && key.index() < step(key.occurrence(), key.step()).tasks().size();
    }

    boolean areAllStepsDone() {
        for (List<StepRecord> steps : occurrences) {
            for (StepRecord step : steps) {
                if (!step.isDone()) {
                    return false;
                }
            }
        }
        return true;
    }

    GraphJobProto toProto() {
        GraphJobProto.Builder proto = GraphJobProto.newBuilder()
                .setGraph(graph)
                .setState(state)
                .setAcceptedAtMs(acceptedAtMs)
                .setEndedAtMs(finishedAtMs);
        if (!isFinished()) {
            for (List<StepRecord> steps : occurrences) {
                GraphOccurrenceProto.Builder occurrence = GraphOccurrenceProto.newBuilder();
                steps.forEach(step -> occurrence.addSteps(step.toProto()));
                proto.addOccurrences(occurrence);
            }
        }
        return proto.build();
    }

    static JobRecord restore(GraphJobProto proto) {
        JobRecord job = new JobRecord(proto.getGraph(), proto.getAcceptedAtMs());
        job.state = proto.getState();
        job.finishedAtMs = proto.getEndedAtMs();
        for (int occurrence = 0; occurrence < proto.getOccurrencesCount(); occurrence++) {
            for (StepRecord step : job.occurrences.get(occurrence)) {
                step.restore(proto.getOccurrences(occurrence).getSteps(step.number()));
                for (int index = 0; index < step.tasks().size(); index++) {
                    job.noteIfCrashing(step, index);
                }
            }
        }
        return job;
    }
}
