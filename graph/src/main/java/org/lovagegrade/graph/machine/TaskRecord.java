package org.lovagegrade.graph.machine;

import org.lovagegrade.wire.proto.GraphTaskProto;
import org.lovagegrade.wire.proto.TaskStateGraphProto;

/** One task of a step: whether it waits, runs or is done, and what its runs left behind. */
public final class TaskRecord {
    TaskStateGraphProto state = TaskStateGraphProto.GRAPH_TASK_WAITING;
    int run;
    int failures;
    String checkpoint = "";

    /**
     * Whether the task waits for a run.
     *
     * @return true if it neither runs nor is done
     */
    public boolean isWaiting() {
        return state == TaskStateGraphProto.GRAPH_TASK_WAITING;
    }

    /**
     * Whether a run of the task may be under way.
     *
     * @return true from the commit of a start to the commit of its end
     */
    public boolean isRunning() {
        return state == TaskStateGraphProto.GRAPH_TASK_RUNNING;
    }

    /**
     * Whether the task has completed.
     *
     * @return true for good once a run has ended so
     */
    public boolean isDone() {
        return state == TaskStateGraphProto.GRAPH_TASK_DONE;
    }

    /**
     * The number of the last run.
     *
     * @return the number, 0 before the first run
     */
    public int run() {
        return run;
    }

    /**
     * How many runs have ended as failed.
     *
     * @return the number of failures
     */
    public int failures() {
        return failures;
    }

    /**
     * From where the next run goes on.
     *
     * @return the checkpoint, or an empty text
     */
    public String checkpoint() {
        return checkpoint;
    }

    GraphTaskProto toProto() {
        return GraphTaskProto.newBuilder()
                .setState(state)
                .setRun(run)
                .setFailures(failures)
                .setCheckpoint(checkpoint)
                .build();
    }

    void restore(GraphTaskProto proto) {
        state = proto.getState();
        run = proto.getRun();
        failures = proto.getFailures();
        checkpoint = proto.getCheckpoint();
    }
}
