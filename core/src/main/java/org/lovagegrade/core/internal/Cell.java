package org.lovagegrade.core.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
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

/** All that the scheduler knows, with the sums kept in step with each change. */
final class Cell {
    private static final Comparator<WorkspaceState> LEAST_USE_FIRST = Comparator.<WorkspaceState>comparingDouble(
                    workspace -> workspace.sortKey)
            .thenComparing(workspace -> workspace.spec.id());

    private final Rules rules;
    private final TreeMap<String, WorkspaceState> workspaces = new TreeMap<>();
    private final Map<String, WorkClass> classes = new HashMap<>();
    private final Map<String, JobState> jobs = new HashMap<>();
    private final TreeMap<String, WorkerState> workers = new TreeMap<>();
    private final FreeIndex index = new FreeIndex();
    private final TreeSet<WorkerState> roomier = new TreeSet<>(WorkerState.BY_ID);
    private final TreeSet<WorkerState> suspects = new TreeSet<>(WorkerState.BY_ID);
    private final TreeSet<JobState> setAside = new TreeSet<>((a, b) -> Long.compare(a.sequence, b.sequence));
    private final TreeSet<WorkerState> reservedWorkers = new TreeSet<>(WorkerState.BY_ID);
    private final SizeCorrection sizes = new SizeCorrection();
    private final Map<Resources, Integer> capacities = new HashMap<>();
    private final List<WorkspaceState> byUse = new ArrayList<>();
    private Resources living = Resources.NONE;
    private Resources free = Resources.NONE;
    private boolean freeRose;
    private long nextSequence;

    Cell(Rules rules) {
        this.rules = rules;
    }

    Rules rules() {
        return rules;
    }

    FreeIndex index() {
        return index;
    }

    SizeCorrection sizes() {
        return sizes;
    }

    Collection<WorkspaceState> workspaces() {
        return workspaces.values();
    }

    /** All workspaces, the one that uses the least of its share first. */
    List<WorkspaceState> workspacesByUse() {
        byUse.forEach(workspace -> workspace.sortKey = workspace.useOfShare(living));
        // Nearly sorted from the last time, which the sort of lists makes use of.
        byUse.sort(LEAST_USE_FIRST);
        return byUse;
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

    Set<JobState> setAside() {
        return setAside;
    }

    Set<WorkerState> suspects() {
        return suspects;
    }

    /** Workers on which room has appeared since they were last tried. */
    NavigableSet<WorkerState> roomier() {
        return roomier;
    }

    /** What the workers have that are not silent. */
    Resources responsiveCapacity() {
        return living;
    }

    /** What is free on workers that take new attempts. */
    Resources free() {
        return free;
    }

    long nextSequence() {
        return nextSequence++;
    }

    /** Whether room has appeared anywhere since this was last asked. */
    boolean takeFreeRose() {
        boolean rose = freeRose;
        freeRose = false;
        return rose;
    }

    void setWorkspace(Workspace spec) {
        WorkspaceState workspace = workspaces.get(spec.id());
        if (workspace == null) {
            workspace = new WorkspaceState(spec, rules.jobOrder());
            workspaces.put(spec.id(), workspace);
            byUse.add(workspace);
        }
        workspace.spec = spec;
        workspace.headroomRose = true;
        freeRose = true;
    }

    void setClass(WorkClass workClass) {
        classes.put(workClass.id(), workClass);
    }

    void addJob(JobState job) {
        jobs.put(job.spec.id(), job);
    }

    void forgetJob(JobState job) {
        jobs.remove(job.spec.id());
        setAside.remove(job);
        job.workspace.waiting.remove(job);
    }

    /** The sizes of all workers announced so far, with how many there are of each. */
    Map<Resources, Integer> capacities() {
        return capacities;
    }

    WorkerState addWorker(Worker spec) {
        WorkerState worker = workers.get(spec.id());
        if (worker == null) {
            worker = new WorkerState(spec);
            workers.put(spec.id(), worker);
        } else {
            withdraw(worker);
            capacities.merge(worker.spec.capacity(), -1, Integer::sum);
            worker.free = worker.free.plus(spec.capacity()).minus(worker.spec.capacity());
            worker.spec = spec;
        }
        capacities.merge(spec.capacity(), 1, Integer::sum);
        worker.silent = false;
        worker.leaving = false;
        offer(worker);
        return worker;
    }

    /** A stand-in for a worker that holds attempts but was not heard yet. */
    WorkerState addUnheardWorker(String id) {
        WorkerState worker = new WorkerState(new Worker(id, "", "", Resources.NONE));
        worker.silent = true;
        workers.put(id, worker);
        capacities.merge(Resources.NONE, 1, Integer::sum);
        return worker;
    }

    void setSilent(WorkerState worker, boolean silent) {
        withdraw(worker);
        worker.silent = silent;
        offer(worker);
    }

    void setLeaving(WorkerState worker) {
        withdraw(worker);
        worker.leaving = true;
        offer(worker);
    }

    /** Runs a change of a worker's health, which may decide whether it takes new attempts. */
    void changeHealth(WorkerState worker, Runnable change) {
        withdraw(worker);
        change.run();
        offer(worker);
    }

    void reserve(WorkerState worker, JobState job) {
        unreserve(worker);
        worker.reservedFor = job;
        job.reserved.add(worker);
        reservedWorkers.add(worker);
        index.remove(worker);
    }

    void unreserve(WorkerState worker) {
        if (worker.reservedFor == null) {
            return;
        }
        worker.reservedFor.reserved.remove(worker);
        worker.reservedFor = null;
        reservedWorkers.remove(worker);
        if (worker.isUsable()) {
            index.add(worker);
            noteRoom(worker);
        }
    }

    void unreserveAll(JobState job) {
        while (!job.reserved.isEmpty()) {
            unreserve(job.reserved.first());
        }
    }

    boolean mayTake(WorkerState worker, JobState job) {
        if (!worker.isUsable() || job.avoided.contains(worker.spec.id())) {
            return false;
        }
        return worker.reservedFor == null || worker.reservedFor == job || goesBeforeHolder(job, worker.reservedFor);
    }

    /** Urgent work takes its place also on workers that are held free for work that can wait. */
    private static boolean goesBeforeHolder(JobState job, JobState holder) {
        return job.isUrgent() && !holder.isUrgent();
    }

    /** The workers that are held free for some job. */
    Set<WorkerState> reservedWorkers() {
        return reservedWorkers;
    }

    /** Gives a task's resources on a worker. */
    void hold(TaskState task, WorkerState worker, Resources amount, long nowMs) {
        task.worker = worker;
        task.held = amount;
        task.phase = TaskPhase.HELD;
        task.placedAtMs = nowMs;
        task.victimSequence = nextSequence();
        task.job.waiting.remove(task.index);
        task.job.placedTasks++;
        task.job.workspace.running.add(task);
        worker.tasks.add(task);
        change(worker, task, amount);
    }

    /** Notes that a task was asked to stop, so that it is no longer a choice for others. */
    void markStopping(TaskState task) {
        task.job.workspace.running.remove(task);
        task.job.workspace.stopping = task.job.workspace.stopping.plus(task.held);
    }

    /** Takes back what a task held. */
    void release(TaskState task) {
        WorkerState worker = task.worker;
        if (task.isStopRequested()) {
            task.job.workspace.stopping = task.job.workspace.stopping.minus(task.held);
        }
        worker.tasks.remove(task);
        task.job.workspace.running.remove(task);
        task.job.placedTasks--;
        change(worker, task, Resources.NONE.minus(task.held));
        task.held = Resources.NONE;
        task.phase = TaskPhase.WAITING;
        task.worker = null;
        task.stopReason = null;
        if (task.probe) {
            task.probe = false;
            worker.health.probeEndedWithoutResult();
        }
    }

    /** Corrects what a task holds to what it was seen to use. */
    void correctHeld(TaskState task, Resources amount) {
        Resources rise = amount.minus(task.held);
        if (task.isStopRequested()) {
            task.job.workspace.stopping = task.job.workspace.stopping.plus(rise);
        }
        change(task.worker, task, rise);
        task.held = amount;
    }

    /** Whether a job goes before one of another workspace. */
    boolean goesBefore(JobState job, JobState other) {
        return rules.workspaceOrder().compare(job.workspace, job, other.workspace, other, living) < 0;
    }

    boolean hasWorkspaceRoom(JobState job) {
        return job.workspace.spec.limits().allow(job.workspace.used.plus(job.neededAtOnce()));
    }

    private void change(WorkerState worker, TaskState task, Resources amount) {
        boolean counted = isCounted(worker);
        worker.free = worker.free.minus(amount);
        task.job.workspace.used = task.job.workspace.used.plus(amount);
        if (counted) {
            free = free.minus(amount);
        }
        index.refresh(worker);
        if (amount.isNegative()) {
            task.job.workspace.headroomRose = true;
            noteRoom(worker);
        }
    }

    private void noteRoom(WorkerState worker) {
        if (worker.isUsable()) {
            roomier.add(worker);
            freeRose = true;
        }
    }

    private static boolean isCounted(WorkerState worker) {
        return worker.isUsable();
    }

    private void withdraw(WorkerState worker) {
        if (!worker.silent) {
            living = living.minus(worker.spec.capacity());
        }
        if (isCounted(worker)) {
            free = free.minus(worker.free);
        }
        index.remove(worker);
        roomier.remove(worker);
        suspects.remove(worker);
    }

    private void offer(WorkerState worker) {
        if (!worker.silent) {
            living = living.plus(worker.spec.capacity());
        }
        if (worker.health.isSuspect()) {
            suspects.add(worker);
        }
        if (!isCounted(worker)) {
            return;
        }
        free = free.plus(worker.free);
        if (worker.reservedFor == null) {
            index.add(worker);
        }
        noteRoom(worker);
    }
}
