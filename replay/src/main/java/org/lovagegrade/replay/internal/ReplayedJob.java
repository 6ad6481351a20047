package org.lovagegrade.replay.internal;

import java.util.Arrays;
import java.util.OptionalLong;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.WorkClass;
import org.lovagegrade.replay.trace.TraceLine;

/** A job of the trace and its state in the replay. */
final class ReplayedJob {
    final TraceLine.SubmitLine submission;
    final WorkClass workClass;
    final long[] firstStartMs;
    final boolean[] taskEnded;
    int waitingTasks;
    int endedTasks;
    boolean accepted;
    boolean unschedulable;
    boolean failed;
    OptionalLong cancelledAtMs = OptionalLong.empty();

    ReplayedJob(TraceLine.SubmitLine submission, WorkClass workClass) {
        this.submission = submission;
        this.workClass = workClass;
        int tasks = Math.max(0, submission.job().tasks());
        this.firstStartMs = new long[tasks];
        Arrays.fill(firstStartMs, -1);
        this.taskEnded = new boolean[tasks];
    }

    /** Whether the tasks end by themselves; otherwise they run until the job is cancelled. */
    boolean isFinite() {
        return submission.actualRunMs().isPresent();
    }

    /** Whether the job may have waiting tasks. */
    boolean isActive() {
        return accepted && !unschedulable && !failed && cancelledAtMs.isEmpty();
    }

    Resources perTask() {
        return submission.job().perTask();
    }
}
