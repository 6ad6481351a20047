package org.lovagegrade.graph.leader;

import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.wire.proto.GraphStateProto;
import org.lovagegrade.wire.proto.RunEndProto;

/** Why the work of a run was lost; {@link #NONE} if the run's result counts. */
enum WasteCause {
    /** Nothing was lost: the run completed its task. */
    NONE,
    /** The task failed. */
    FAILED,
    /** The worker broke the run off, since another member of its gang had ended. */
    BROKEN,
    /** The worker ended the run, since it had no contact with the other members of its gang. */
    ALONE,
    /** Stopped, since another member of its gang was lost or had failed. */
    GANG_BROKEN,
    /** Stopped, since it made no progress. */
    STALLED,
    /** Its task is completed by another run. */
    SUPERSEDED,
    /** Its job was cancelled. */
    CANCELLED,
    /** Its job has failed. */
    JOB_FAILED,
    /** Stopped to make room for more urgent work. */
    PREEMPTED,
    /** Stopped for a reason that this leader doesn't know, by the worker itself or by an earlier leader. */
    STOPPED,
    /** The worker ended the run, since its lease had expired. */
    LAPSED,
    /** The run was lost with its worker. */
    LOST;

    /** The cause for a run that has ended in this way. */
    static WasteCause of(RunTracker tracker, RunEndProto how) {
        if (tracker.run.isObsolete()) {
            return ofObsolete(tracker.run);
        }
        return switch (how) {
            case RUN_DONE -> NONE;
            case RUN_FAILED -> FAILED;
            case RUN_BROKEN -> BROKEN;
            case RUN_ALONE -> ALONE;
            case RUN_LAPSED -> LAPSED;
            case RUN_LOST -> LOST;
            default -> tracker.stopCause == NONE ? STOPPED : tracker.stopCause;
        };
    }

    /** The members of a gang complete their step together, so that the work of all of them counts. */
    private static WasteCause ofObsolete(RunRecord run) {
        boolean isGangDone = run.step().spec().getGang() && run.step().isDone();
        if (isGangDone) {
            return NONE;
        }
        GraphStateProto jobState = run.step().job().state();
        if (jobState == GraphStateProto.GRAPH_CANCELLED) {
            return CANCELLED;
        }
        return jobState == GraphStateProto.GRAPH_FAILED ? JOB_FAILED : SUPERSEDED;
    }

    /** Whether the next run of the task can resume from the last checkpoint. */
    boolean leavesTaskOpen() {
        return switch (this) {
            case NONE, SUPERSEDED, CANCELLED, JOB_FAILED -> false;
            default -> true;
        };
    }
}
