package org.lovagegrade.replay.internal;

import java.util.Arrays;
import java.util.OptionalLong;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.WorkClass;
import org.lovagegrade.replay.trace.TraceLine;

/** A job of the trace and how far it has come in the replay. */
final class ReplayedJob {
    final TraceLine.SubmitLine line;
    final WorkClass workClass;
    final long[] firstStartMs;
    final boolean[] ended;
    int waiting;
    int endedCount;
    boolean accepted;
    boolean setAside;
    boolean failed;
    OptionalLong cancelledAtMs = OptionalLong.empty();

    ReplayedJob(TraceLine.SubmitLine line, WorkClass workClass) {
        this.line = line;
        this.workClass = workClass;
        int tasks = Math.max(0, line.job().tasks());
        this.firstStartMs = new long[tasks];
        Arrays.fill(firstStartMs, -1);
        this.ended = new boolean[tasks];
    }

    boolean isFinite() {
        return line.actualRunMs().isPresent();
    }

    boolean isActive() {
        return accepted && !setAside && !failed && cancelledAtMs.isEmpty();
    }

    Resources perTask() {
        return line.job().perTask();
    }
}
