package org.lovagegrade.graph.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.Supplier;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.wire.proto.WorkerProto;

/** A worker that may receive starts, with its free resources, which change while a plan is made. */
public final class CandidateWorker {
    private final WorkerProto info;
    private final Map<String, Integer> tasksByStep = new HashMap<>();
    private ResourceVector free;
    private Supplier<List<CapacityRelease>> runningReleases = List::of;
    private final List<CapacityRelease> startReleases = new ArrayList<>();
    private OptionalInt heldForPriority = OptionalInt.empty();
    private boolean isUnreliable;
    private int runs;
    private int passingRuns;
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
        passingRuns += step.spec().getLasting() ? 0 : 1;
        if (step.spec().getMostPerWorker() > 0) {
            tasksByStep.merge(step.name(), 1, Integer::sum);
        }
    }

    int runs() {
        return runs;
    }

    /** The runs that end by themselves; a worker is never emptier than without them. */
    int passingRuns() {
        return passingRuns;
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
     * @param endMs when it is expected to end, on the monotonic clock in milliseconds
     */
    public void addStart(StepRecord step, long endMs) {
        allocate(step.perTask());
        addRun(step);
        startReleases.add(new CapacityRelease(step.perTask(), endMs));
    }

    /**
     * Sets the expected ends of the runs on this worker, which are determined only if the plan needs them.
     *
     * @param releases supplies the ends of all runs that were not added as starts
     */
    public void setRunningReleases(Supplier<List<CapacityRelease>> releases) {
        runningReleases = releases;
    }

    /** The expected ends of all runs, the earliest first. Capacity that no known run holds is not released. */
    List<CapacityRelease> releases() {
        List<CapacityRelease> all = new ArrayList<>(runningReleases.get());
        all.addAll(startReleases);
        all.sort(Comparator.comparingLong(CapacityRelease::atMs));
        return all;
    }

    /** Marks this worker as one that failed, stalled or was silent lately, which gangs avoid. */
    public void markUnreliable() {
        isUnreliable = true;
    }

    boolean isUnreliable() {
        return isUnreliable;
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

    /** Closes this worker to work with a higher priority number than that of a gang; a worker is held for one gang. */
    void holdFor(int priority) {
        heldForPriority = OptionalInt.of(priority);
    }

    /** Removes what an earlier plan held. */
    void removeHold() {
        heldForPriority = OptionalInt.empty();
    }

    boolean isHeld() {
        return heldForPriority.isPresent();
    }

    /** Whether work of a priority doesn't delay the gang for which this worker is held, if any. */
    boolean isOpenTo(int priority) {
        return heldForPriority.isEmpty() || priority <= heldForPriority.getAsInt();
    }
}
