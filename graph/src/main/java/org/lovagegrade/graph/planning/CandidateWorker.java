package org.lovagegrade.graph.planning;

import java.util.HashMap;
import java.util.Map;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.wire.proto.WorkerProto;

/** A worker that may receive starts, with its free resources, which change while a plan is made. */
public final class CandidateWorker {
    private final WorkerProto info;
    private final Map<String, Integer> tasksByStep = new HashMap<>();
    private ResourceVector free;
    private int reservedForPriority = Integer.MAX_VALUE;

    /**
     * Creates a candidate for one plan.
     *
     * @param info the worker's description of itself
     * @param free the resources that no run holds
     */
    public CandidateWorker(WorkerProto info, ResourceVector free) {
        this.info = info;
        this.free = free;
    }

    /**
     * The worker's description of itself.
     *
     * @return the message
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
     * The free resources.
     *
     * @return the resources that are not allocated
     */
    public ResourceVector free() {
        return free;
    }

    /**
     * Counts tasks of a step on this worker, for the step's limit of tasks per worker.
     *
     * @param step the step's name
     * @param tasks the number of tasks to add
     */
    public void addTasks(String step, int tasks) {
        tasksByStep.merge(step, tasks, Integer::sum);
    }

    int tasksOf(String step) {
        return tasksByStep.getOrDefault(step, 0);
    }

    void allocate(ResourceVector amount) {
        free = free.minus(amount);
    }

    /**
     * Allocates the resources of a start that was proposed and is not yet committed.
     *
     * @param step the step of the task
     */
    public void addPendingStart(StepRecord step) {
        allocate(step.perTask());
        addTasks(step.name(), 1);
    }

    /** Reserves this worker for queues whose priority number is at most the given one. */
    void reserveFor(int priority) {
        reservedForPriority = Math.min(reservedForPriority, priority);
    }

    boolean isOpenTo(int priority) {
        return priority <= reservedForPriority;
    }
}
