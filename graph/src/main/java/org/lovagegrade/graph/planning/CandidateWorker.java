package org.lovagegrade.graph.planning;

import java.util.HashMap;
import java.util.Map;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.wire.proto.WorkerProto;

/** A worker that may take starts, with what is free there; changes while a plan is made. */
public final class CandidateWorker {
    private final WorkerProto info;
    private final Map<String, Integer> tasksByStep = new HashMap<>();
    private ResourceVector free;
    private int reservedFor = Integer.MAX_VALUE;

    /**
     * Creates a slot.
     *
     * @param info what the worker says of itself
     * @param free the room that no run takes
     */
    public CandidateWorker(WorkerProto info, ResourceVector free) {
        this.info = info;
        this.free = free;
    }

    /**
     * The worker.
     *
     * @return what it says of itself
     */
    public WorkerProto info() {
        return info;
    }

    /**
     * The worker's id.
     *
     * @return the id
     */
    public String id() {
        return info.getId();
    }

    /**
     * What is free.
     *
     * @return the room
     */
    public ResourceVector free() {
        return free;
    }

    /**
     * Counts tasks of a step that run here already.
     *
     * @param step the step's name
     * @param tasks how many more
     */
    public void addTasks(String step, int tasks) {
        tasksByStep.merge(step, tasks, Integer::sum);
    }

    int tasksOf(String step) {
        return tasksByStep.getOrDefault(step, 0);
    }

    void take(ResourceVector room) {
        free = free.minus(room);
    }

    /**
     * Takes the room of a start that is decided and not yet committed.
     *
     * @param step the step of the task
     */
    public void addPendingStart(StepRecord step) {
        take(step.perTask());
        addTasks(step.name(), 1);
    }

    /** Keeps this worker for queues of a priority and those before it. */
    void reserveFor(int priority) {
        reservedFor = Math.min(reservedFor, priority);
    }

    boolean isOpenTo(int priority) {
        return priority <= reservedFor;
    }
}
