package org.lovagegrade.graph.machine;

import java.util.ArrayList;
import java.util.List;
import org.lovagegrade.wire.proto.GraphJobProto;
import org.lovagegrade.wire.proto.GraphOccurrenceProto;
import org.lovagegrade.wire.proto.GraphProto;
import org.lovagegrade.wire.proto.GraphStateProto;

/** A job that was accepted. */
public final class JobRecord {
    private final GraphProto graph;
    private final long acceptedAtMs;
    private final List<List<StepRecord>> occurrences = new ArrayList<>();
    GraphStateProto state = GraphStateProto.GRAPH_QUEUED;
    long endedAtMs;
    int waiting;

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
     * The job as it was handed in.
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
     * Whether the job has come to its end.
     *
     * @return true if it is completed, failed or cancelled
     */
    public boolean isOver() {
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
     * @param occurrence the number of the occurrence
     * @param step the number of the step
     * @return the step
     */
    public StepRecord step(int occurrence, int step) {
        return occurrences.get(occurrence).get(step);
    }

    /**
     * How many tasks of all occurrences wait for a run, due or not.
     *
     * @return the number
     */
    public int waitingTasks() {
        return waiting;
    }

    /**
     * When an occurrence is due.
     *
     * @param occurrence its number
     * @return milliseconds since 1970; when it was accepted, for a job that runs once
     */
    public long dueAtMs(int occurrence) {
        return graph.getOccurrences() > 0 ? graph.getFirstDueMs() + occurrence * graph.getIntervalMs() : acceptedAtMs;
    }

    boolean hasStep(TaskKey key) {
        return key.occurrence() >= 0
                && key.occurrence() < occurrences.size()
                && key.step() >= 0
                && key.step() < occurrences.get(key.occurrence()).size()
                && key.index() >= 0
                && key.index() < step(key.occurrence(), key.step()).tasks().size();
    }

    boolean allDone() {
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
                .setEndedAtMs(endedAtMs);
        if (!isOver()) {
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
        job.endedAtMs = proto.getEndedAtMs();
        for (int occurrence = 0; occurrence < proto.getOccurrencesCount(); occurrence++) {
            for (StepRecord step : job.occurrences.get(occurrence)) {
                step.restore(proto.getOccurrences(occurrence).getSteps(step.number()));
            }
        }
        return job;
    }
}
