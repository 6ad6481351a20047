package org.lovagegrade.core.internal;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.TreeSet;
import org.lovagegrade.core.ClassKind;
import org.lovagegrade.core.Job;
import org.lovagegrade.core.Reason;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.WorkClass;

/** The scheduler's state of one job. */
final class JobState {
    private static final int MAX_RECORDED_FAILED_WORKERS = 8;

    final Job spec;
    final WorkClass workClass;
    final WorkspaceState workspace;
    final long sequence;
    final long deadlineMs;
    final TaskState[] tasks;
    final TreeSet<Integer> waitingTasks = new TreeSet<>();
    final Set<String> failedWorkers = new LinkedHashSet<>();
    final Set<String> excludedWorkers = new LinkedHashSet<>();
    final TreeSet<WorkerState> reservedWorkers = new TreeSet<>(WorkerState.BY_ID);
    Resources plannedPerTask;
    int placedTasks;
    int endedTasks;
    boolean cancelled;
    boolean unschedulable;
    boolean failedPermanently;
    /** Its tasks share no worker with other jobs, since workers restarted under them. */
    boolean isolated;
    /** Its tasks may share workers all the same, since none without other jobs was found in time. */
    boolean mayShareWorkers;

    boolean blockedByCapacity;
    Reason waitReason = Reason.NOT_WAITING;
    long notBeforeMs;
    long waitingSinceMs;
    long nextPreemptionMs;
    long reservedUntilMs;
    long isolationWaitEndsMs;

    JobState(Job spec, WorkClass workClass, WorkspaceState workspace, long sequence) {
        this.spec = spec;
        this.workClass = workClass;
        this.workspace = workspace;
        this.sequence = sequence;
        this.plannedPerTask = spec.perTask();
        this.deadlineMs = workClass.waitTargetMs().isPresent()
                ? spec.submittedAtMs() + workClass.waitTargetMs().getAsLong()
                : Long.MAX_VALUE;
        this.tasks = new TaskState[spec.tasks()];
        for (int i = 0; i < tasks.length; i++) {
            tasks[i] = new TaskState(this, i);
            waitingTasks.add(i);
        }
    }

    boolean isGang() {
        return workClass.kind() == ClassKind.GANG;
    }

    boolean isService() {
        return workClass.kind() == ClassKind.SERVICE;
    }

    /** Whether its tasks may only be placed on workers without tasks of other jobs. */
    boolean needsOwnWorker() {
        return isolated && !mayShareWorkers;
    }

    boolean isUrgent() {
        return workClass.isUrgent();
    }

    /** Whether tasks of this job may be placed now; a gang must have all its tasks waiting. */
    boolean wantsPlacement() {
        if (cancelled || unschedulable || failedPermanently || waitingTasks.isEmpty()) {
            return false;
        }
        return !isGang() || waitingTasks.size() == tasks.length;
    }

    boolean isFinished() {
        return placedTasks == 0 && (cancelled || failedPermanently || endedTasks == tasks.length);
    }

    void recordFailureOn(String worker) {
        excludedWorkers.add(worker);
        failedWorkers.add(worker);
        if (failedWorkers.size() > MAX_RECORDED_FAILED_WORKERS) {
            failedWorkers.remove(new ArrayDeque<>(failedWorkers).peekFirst());
        }
    }

    /** The number of tasks placed at once: all tasks of a gang, else one. */
    int tasksPerPlacement() {
        return isGang() ? tasks.length : 1;
    }

    Resources neededPerPlacement() {
        return plannedPerTask.times(tasksPerPlacement());
    }
}
