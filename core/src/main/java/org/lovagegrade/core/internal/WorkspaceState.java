package org.lovagegrade.core.internal;

import java.util.Comparator;
import java.util.TreeSet;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.Workspace;

/** The scheduler's state of one workspace. */
final class WorkspaceState {
    private static final int BATCH_RANK = 0;
    private static final int GANG_RANK = 1;
    private static final int SERVICE_RANK = 2;

    /** Order of preemption, cheapest first: batch, then gangs, then services; within a kind the latest placed first. */
    private static final Comparator<TaskState> CHEAPEST_FIRST = Comparator.<TaskState>comparingInt(
                    WorkspaceState::costRank)
            .thenComparing(
                    Comparator.<TaskState>comparingLong(task -> task.placedAtMs).reversed())
            .thenComparingLong(task -> -task.placementSequence);

    final WaitingJobs waitingJobs;
    final TreeSet<TaskState> running = new TreeSet<>(CHEAPEST_FIRST);
    Workspace spec;
    Resources used = Resources.NONE;
    Resources stoppingUsage = Resources.NONE;
    boolean headroomIncreased;
    double lastShareUtilization;

    WorkspaceState(Workspace spec, Comparator<JobState> jobOrder) {
        this.spec = spec;
        this.waitingJobs = new WaitingJobs(jobOrder);
    }

    /**
     * The dominant share in use divided by the configured share. Without a configured share it is infinite, or
     * {@link Double#MAX_VALUE} if nothing is in use, so that such workspaces come last.
     */
    double shareUtilization(Resources cellCapacity) {
        return shareUtilization(used, cellCapacity);
    }

    double shareUtilization(Resources assumedUsage, Resources cellCapacity) {
        double dominantShare = assumedUsage.dominantShareOf(cellCapacity);
        return spec.share() > 0
                ? dominantShare / spec.share()
                : dominantShare > 0 ? Double.POSITIVE_INFINITY : Double.MAX_VALUE;
    }

    private static int costRank(TaskState task) {
        if (task.job.isService()) {
            return SERVICE_RANK;
        }
        return task.job.isGang() ? GANG_RANK : BATCH_RANK;
    }
}
