package org.lovagegrade.core.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.WorkClass;
import org.lovagegrade.core.Worker;
import org.lovagegrade.core.Workspace;

/** The scheduler's state: workspaces, classes, jobs and workers, with totals and indexes updated on each change. */
final class Cell {
    private static final Comparator<WorkspaceState> LOWEST_UTILIZATION_FIRST =
            Comparator.<WorkspaceState>comparingDouble(workspace -> workspace.lastShareUtilization)
                    .thenComparing(workspace -> workspace.spec.id());

    private final Rules rules;
    private final TreeMap<String, WorkspaceState> workspaces = new TreeMap<>();
    private final Map<String, WorkClass> classes = new HashMap<>();
    private final Map<String, JobState> jobs = new HashMap<>();
    private final TreeMap<String, WorkerState> workers = new TreeMap<>();
    private final FreeCapacityIndex index = new FreeCapacityIndex();
    private final TreeSet<WorkerState> workersWithNewCapacity = new TreeSet<>(WorkerState.BY_ID);
    private final TreeSet<WorkerState> suspects = new TreeSet<>(WorkerState.BY_ID);
    private final TreeSet<JobState> unschedulableJobs = new TreeSet<>((a, b) -> Long.compare(a.sequence, b.sequence));
    private final Set<String> evacuatedDomains = new HashSet<>();
    private final TreeSet<WorkerState> reservedWorkers = new TreeSet<>(WorkerState.BY_ID);
    private final SizeCorrection sizeCorrection = new SizeCorrection();
    private final Map<Resources, Integer> workerCountByCapacity = new HashMap<>();
    private final List<WorkspaceState> byUtilization = new ArrayList<>();
    private Resources responsiveCapacity = Resources.NONE;
    private Resources freeCapacity = Resources.NONE;
    private boolean capacityFreed;
    private long nextSequence;

    Cell(Rules rules) {
        this.rules = rules;
    }

    Rules rules() {
        return rules;
    }

    FreeCapacityIndex index() {
        return index;
    }

    SizeCorrection sizeCorrection() {
        return sizeCorrection;
    }

    Collection<WorkspaceState> workspaces() {
        return workspaces.values();
    }

    /** All workspaces, lowest share utilization first. */
    List<WorkspaceState> workspacesByUtilization() {
        byUtilization.forEach(
                workspace -> workspace.lastShareUtilization = workspace.shareUtilization(responsiveCapacity));
        // The list is nearly sorted from the previous call, which the adaptive list sort exploits.
        byUtilization.sort(LOWEST_UTILIZATION_FIRST);
        return byUtilization;
    }

    WorkspaceState workspace(String id) {
        return workspaces.get(id);
    }

    Collection<WorkerState> workers() {
        return workers.values();
    }

    WorkerState worker(String id) {
        return workers.get(id);
    }

    WorkClass workClass(String id) {
        return classes.get(id);
    }

    JobState job(String id) {
        return jobs.get(id);
    }

    Collection<JobState> jobs() {
        return jobs.values();
    }

    Set<JobState> unschedulableJobs() {
        return unschedulableJobs;
    }

    Set<WorkerState> suspects() {
        return suspects;
    }

    /** Workers whose free capacity has increased since placement was last tried on them. */
    NavigableSet<WorkerState> workersWithNewCapacity() {
        return workersWithNewCapacity;
    }

    /**
     * Total capacity of the responsive workers, including those that are leaving or suspect. Workers of evacuated failure
     * domains are excluded, since shares are parts of what can be used.
     */
    Resources responsiveCapacity() {
        return responsiveCapacity;
    }

    /** Total free capacity of the workers that accept new attempts. */
    Resources freeCapacity() {
        return freeCapacity;
    }

    long nextSequence() {
        return nextSequence++;
    }

    /** Whether capacity was freed or a workspace was added or changed since the last call. */
    boolean getAndClearCapacityFreed() {
        boolean wasFreed = capacityFreed;
        capacityFreed = false;
        return wasFreed;
    }

    void setWorkspace(Workspace spec) {
        WorkspaceState workspace = workspaces.get(spec.id());
        if (workspace == null) {
            workspace = new WorkspaceState(spec, rules.jobOrder());
            workspaces.put(spec.id(), workspace);
            byUtilization.add(workspace);
        }
        workspace.spec = spec;
        workspace.headroomIncreased = true;
        capacityFreed = true;
    }

    void setClass(WorkClass workClass) {
        classes.put(workClass.id(), workClass);
    }

    void addJob(JobState job) {
        jobs.put(job.spec.id(), job);
    }

    void removeJob(JobState job) {
        jobs.remove(job.spec.id());
        unschedulableJobs.remove(job);
        job.workspace.waitingJobs.remove(job);
    }

    /** The number of known workers of each capacity. */
    Map<Resources, Integer> workerCountByCapacity() {
        return workerCountByCapacity;
    }

    /** Adds a worker, or updates a known one; the worker is then responsive and not leaving. */
    WorkerState addWorker(Worker spec) {
        WorkerState worker = workers.get(spec.id());
        if (worker == null) {
            worker = new WorkerState(spec);
            workers.put(spec.id(), worker);
        } else {
            removeFromIndexes(worker);
            workerCountByCapacity.merge(worker.spec.capacity(), -1, Integer::sum);
            worker.free = worker.free.plus(spec.capacity()).minus(worker.spec.capacity());
            worker.spec = spec;
        }
        workerCountByCapacity.merge(spec.capacity(), 1, Integer::sum);
        worker.unresponsive = false;
        worker.leaving = false;
        worker.evacuated = evacuatedDomains.contains(spec.failureDomain());
        addToIndexes(worker);
        return worker;
    }

    /** Adds a placeholder without capacity for a worker that holds attempts but has not made contact yet. */
    WorkerState addPlaceholderWorker(String id) {
        WorkerState worker = new WorkerState(new Worker(id, "", "", Resources.NONE));
        worker.unresponsive = true;
        workers.put(id, worker);
        workerCountByCapacity.merge(Resources.NONE, 1, Integer::sum);
        return worker;
    }

    void setUnresponsive(WorkerState worker, boolean unresponsive) {
        removeFromIndexes(worker);
        worker.unresponsive = unresponsive;
        addToIndexes(worker);
    }

    void setLeaving(WorkerState worker) {
        removeFromIndexes(worker);
        worker.leaving = true;
        addToIndexes(worker);
    }

    /** Evacuates a failure domain or returns it to service; also applies to workers of it that are added later. */
    void setEvacuated(String failureDomain, boolean evacuated) {
        boolean changed = evacuated ? evacuatedDomains.add(failureDomain) : evacuatedDomains.remove(failureDomain);
        if (!changed) {
            return;
        }
        for (WorkerState worker : workers.values()) {
            if (!worker.spec.failureDomain().equals(failureDomain)) {
                continue;
            }
            if (worker.reservedFor != null) {
                // What is left of the reservation may be too small for the job, so it is given up as a whole.
                unreserveAll(worker.reservedFor);
            }
            removeFromIndexes(worker);
            worker.evacuated = evacuated;
            addToIndexes(worker);
        }
    }

    /** Applies a change of a worker's health, which may change whether the worker accepts new attempts. */
    void changeHealth(WorkerState worker, Runnable change) {
        removeFromIndexes(worker);
        change.run();
        addToIndexes(worker);
    }

    /** Reserves a worker for a job, replacing any other reservation of the worker. */
    void reserve(WorkerState worker, JobState job) {
        unreserve(worker);
        worker.reservedFor = job;
        job.reservedWorkers.add(worker);
        reservedWorkers.add(worker);
        index.remove(worker);
    }

    void unreserve(WorkerState worker) {
        if (worker.reservedFor == null) {
            return;
        }
        worker.reservedFor.reservedWorkers.remove(worker);
        worker.reservedFor = null;
        reservedWorkers.remove(worker);
        if (worker.isUsable()) {
            index.add(worker);
            markCapacityFreed(worker);
        }
    }

    void unreserveAll(JobState job) {
        while (!job.reservedWorkers.isEmpty()) {
            unreserve(job.reservedWorkers.first());
        }
    }

    /** Whether a job may be placed on a worker, regardless of the worker's free capacity. */
    boolean isEligible(WorkerState worker, JobState job) {
        if (!worker.isUsable() || job.excludedWorkers.contains(worker.spec.id()) || worker.isClosedTo(job)) {
            return false;
        }
        return worker.reservedFor == null
                || worker.reservedFor == job
                || mayOverrideReservation(job, worker.reservedFor);
    }

    /** Urgent jobs may use workers that are reserved for jobs that are not urgent. */
    private static boolean mayOverrideReservation(JobState job, JobState holder) {
        return job.isUrgent() && !holder.isUrgent();
    }

    /** The workers that are reserved for a job. */
    Set<WorkerState> reservedWorkers() {
        return reservedWorkers;
    }

    /** Allocates resources of a worker to a task. */
    void allocate(TaskState task, WorkerState worker, Resources allocation, long nowMs) {
        task.worker = worker;
        task.allocated = allocation;
        task.phase = TaskPhase.PLACED;
        task.placedAtMs = nowMs;
        task.placementSequence = nextSequence();
        task.job.waitingTasks.remove(task.index);
        task.job.placedTasks++;
        task.job.workspace.running.add(task);
        worker.tasks.add(task);
        if (task.job.isolated) {
            worker.isolatedFor = task.job;
        }
        adjustUsage(worker, task, allocation);
    }

    /** Records that a task was asked to stop, so that it is no longer a candidate for preemption. */
    void markStopping(TaskState task) {
        task.job.workspace.running.remove(task);
        task.job.workspace.stoppingUsage = task.job.workspace.stoppingUsage.plus(task.allocated);
    }

    /** Releases the resources of a task and returns it to the waiting phase. */
    void release(TaskState task) {
        WorkerState worker = task.worker;
        if (task.isStopRequested()) {
            task.job.workspace.stoppingUsage = task.job.workspace.stoppingUsage.minus(task.allocated);
        }
        worker.tasks.remove(task);
        if (worker.tasks.stream().noneMatch(other -> other.job == worker.isolatedFor)) {
            worker.isolatedFor = null;
        }
        task.job.workspace.running.remove(task);
        task.job.placedTasks--;
        adjustUsage(worker, task, Resources.NONE.minus(task.allocated));
        task.allocated = Resources.NONE;
        task.phase = TaskPhase.WAITING;
        task.worker = null;
        task.stopReason = null;
        if (task.probe) {
            task.probe = false;
            worker.health.probeEndedWithoutResult();
        }
    }

    /** Changes the allocation of a task to its observed usage. */
    void adjustAllocation(TaskState task, Resources allocation) {
        Resources increase = allocation.minus(task.allocated);
        if (task.isStopRequested()) {
            task.job.workspace.stoppingUsage = task.job.workspace.stoppingUsage.plus(increase);
        }
        adjustUsage(task.worker, task, increase);
        task.allocated = allocation;
    }

    /** Whether a job is placed before a job of another workspace. */
    boolean precedes(JobState job, JobState other) {
        return rules.workspaceOrder().compare(job.workspace, job, other.workspace, other, responsiveCapacity) < 0;
    }

    /** Whether one placement of a job keeps its workspace within its limits. */
    boolean fitsWorkspaceLimits(JobState job) {
        return job.workspace.spec.limits().allow(job.workspace.used.plus(job.neededPerPlacement()));
    }

    private void adjustUsage(WorkerState worker, TaskState task, Resources increase) {
        boolean wasCounted = countsTowardFreeCapacity(worker);
        worker.free = worker.free.minus(increase);
        task.job.workspace.used = task.job.workspace.used.plus(increase);
        if (wasCounted) {
            freeCapacity = freeCapacity.minus(increase);
        }
        index.refresh(worker);
        if (increase.isNegative()) {
            task.job.workspace.headroomIncreased = true;
            markCapacityFreed(worker);
        }
    }

    private void markCapacityFreed(WorkerState worker) {
        if (worker.isUsable()) {
            workersWithNewCapacity.add(worker);
            capacityFreed = true;
        }
    }

    private static boolean countsTowardCapacity(WorkerState worker) {
        return !worker.unresponsive && !worker.evacuated;
    }

    private static boolean countsTowardFreeCapacity(WorkerState worker) {
        return worker.isUsable();
    }

    /** Removes a worker from totals and indexes; must be called before a change of its state. */
    private void removeFromIndexes(WorkerState worker) {
        if (countsTowardCapacity(worker)) {
            responsiveCapacity = responsiveCapacity.minus(worker.spec.capacity());
        }
        if (countsTowardFreeCapacity(worker)) {
            freeCapacity = freeCapacity.minus(worker.free);
        }
        index.remove(worker);
        workersWithNewCapacity.remove(worker);
        suspects.remove(worker);
    }

    /** Adds a worker to totals and indexes after a change of its state. */
    private void addToIndexes(WorkerState worker) {
        if (countsTowardCapacity(worker)) {
            responsiveCapacity = responsiveCapacity.plus(worker.spec.capacity());
        }
        if (worker.health.isSuspect()) {
            suspects.add(worker);
        }
        if (!countsTowardFreeCapacity(worker)) {
            return;
        }
        freeCapacity = freeCapacity.plus(worker.free);
        if (worker.reservedFor == null) {
            index.add(worker);
        }
        markCapacityFreed(worker);
    }
}
