package org.lovagegrade.graph.machine;

import org.lovagegrade.wire.proto.GraphTaskProto;
import org.lovagegrade.wire.proto.TaskStateGraphProto;

/** One task of a step: its state, with the number, the failures and the last checkpoint of its runs. */
public final class TaskRecord {
    TaskStateGraphProto state = TaskStateGraphProto.GRAPH_TASK_WAITING;
    int run;
    int failures;
    String checkpoint = "";
    CrashHistory crashHistory = CrashHistory.NONE;

    /**
     * Whether the task waits for a run.
     *
     * @return true if it neither runs nor is done
     */
    public boolean isWaiting() {
        return state == TaskStateGraphProto.GRAPH_TASK_WAITING;
    }

    /**
     * Whether the task has a run that may be executing.
     *
     * @return true from the commit of a start to the commit of its end
     */
    public boolean isRunning() {
        return state == TaskStateGraphProto.GRAPH_TASK_RUNNING;
    }

    /**
     * Whether the task has completed.
     *
     * @return true once a run has completed; the state is final
     */
    public boolean isDone() {
        return state == TaskStateGraphProto.GRAPH_TASK_DONE;
    }

    /**
     * The number of the last run.
     *
     * @return the number, or 0 before the first run
     */
    public int run() {
        return run;
    }

    /**
     * The number of failed runs.
     *
     * @return the number; failed runs of a gang that is not lasting are counted for the step instead
     */
    public int failures() {
        return failures;
    }

    /**
     * The checkpoint from which the next run resumes.
     *
     * @return the checkpoint, or an empty string
     */
    public String checkpoint() {
        return checkpoint;
    }

    /**
     * The crashes of workers under the task's runs.
     *
     * @return the history
     */
    public CrashHistory crashHistory() {
        return crashHistory;
    }

    GraphTaskProto toProto() {
        GraphTaskProto.Builder proto = GraphTaskProto.newBuilder()
                .setState(state)
                .setRun(run)
                .setFailures(failures)
                .setCheckpoint(checkpoint);
        if (!crashHistory.equals(CrashHistory.NONE)) {
            proto.setCrashHistory(crashHistory.toProto());
        }
        return proto.build();
    }

    void restore(GraphTaskProto proto) {
        state = proto.getState();
        run = proto.getRun();
        failures = proto.getFailures();
        checkpoint = proto.getCheckpoint();
        crashHistory = CrashHistory.of(proto.getCrashHistory());
    }
}
