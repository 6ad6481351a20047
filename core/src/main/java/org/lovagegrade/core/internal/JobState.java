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

/** The scheduler's knowledge of one job. */
final class JobState {
    private static final int REMEMBERED_FAILURES = 8;

    final Job spec;
    final WorkClass workClass;
    final WorkspaceState workspace;
    final long sequence;
    final long deadlineMs;
    final TaskState[] tasks;
    final TreeSet<Integer> waiting = new TreeSet<>();
    final Set<String> failedOn = new LinkedHashSet<>();
    final Set<String> avoided = new LinkedHashSet<>();
    final TreeSet<WorkerState> reserved = new TreeSet<>(WorkerState.BY_ID);
    Resources planned;
    int placedTasks;
    int endedTasks;
    boolean cancelled;
    boolean setAside;
    boolean failedForGood;
    boolean parkedForRoom;
    Reason waitReason = Reason.NOT_WAITING;
    long notBeforeMs;
    long waitingSinceMs;
    long nextPreemptionMs;
    long reservedUntilMs;

    JobState(Job spec, WorkClass workClass, WorkspaceState workspace, long sequence) {
        this.spec = spec;
        this.workClass = workClass;
        this.workspace = workspace;
        this.sequence = sequence;
        this.planned = spec.perTask();
        this.deadlineMs = workClass.waitTargetMs().isPresent()
                ? spec.submittedAtMs() + workClass.waitTargetMs().getAsLong()
                : Long.MAX_VALUE;
        this.tasks = new TaskState[spec.tasks()];
        for (int i = 0; i < tasks.length; i++) {
            tasks[i] = new TaskState(this, i);
            waiting.add(i);
        }
    }

    boolean isGang() {
        return workClass.kind() == ClassKind.GANG;
    }

    boolean isService() {
        return workClass.kind() == ClassKind.SERVICE;
    }

    boolean isUrgent() {
        return workClass.isUrgent();
    }

    /** Whether tasks of this job may be placed now; a gang may only when all its tasks are off their workers. */
    boolean wantsPlacement() {
        if (cancelled || setAside || failedForGood || waiting.isEmpty()) {
            return false;
        }
        return !isGang() || waiting.size() == tasks.length;
    }

    boolean isOver() {
        return placedTasks == 0 && (cancelled || failedForGood || endedTasks == tasks.length);
    }

    void rememberFailureOn(String worker) {
        avoided.add(worker);
        failedOn.add(worker);
        if (failedOn.size() > REMEMBERED_FAILURES) {
            failedOn.remove(new ArrayDeque<>(failedOn).peekFirst());
        }
    }

    /** What one placement takes: all tasks of a gang, or one task. */
    int tasksPerPlacement() {
        return isGang() ? tasks.length : 1;
    }

    Resources neededAtOnce() {
        return planned.times(tasksPerPlacement());
    }
}
