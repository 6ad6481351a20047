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
    private int runs;
    private String isolatedJob = "";

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
     * Counts a run whose resources are not part of the free ones.
     *
     * @param step the step of its task
     */
    public void addRun(StepRecord step) {
        runs++;
        if (step.spec().getMostPerWorker() > 0) {
            tasksByStep.merge(step.name(), 1, Integer::sum);
        }
    }

    int runs() {
        return runs;
    }

    int tasksOf(String step) {
        return tasksByStep.getOrDefault(step, 0);
    }

    void allocate(ResourceVector amount) {
        free = free.minus(amount);
    }

    /**
     * Adds a run that starts: one of this plan, or one that was proposed and is not yet committed.
     *
     * @param step the step of its task
     */
    public void addStart(StepRecord step) {
        allocate(step.perTask());
        addRun(step);
    }

    /**
     * Closes this worker to all other jobs, since a run of the given one may crash it.
     *
     * @param job the id of the job
     */
    public void isolate(String job) {
        isolatedJob = job;
    }

    boolean isIsolated() {
        return !isolatedJob.isEmpty();
    }

    boolean isIsolatedFor(String job) {
        return isolatedJob.equals(job);
    }

    /** Reserves this worker for queues whose priority number is at most the given one. */
    void reserveFor(int priority) {
        reservedForPriority = Math.min(reservedForPriority, priority);
    }

    boolean isOpenTo(int priority) {
        return priority <= reservedForPriority;
    }
}
