package org.lovagegrade.graph.machine;

import org.lovagegrade.wire.proto.RunKeyProto;

/**
 * Identifies one run of a task.
 *
 * @param task the task
 * @param run the number of the run, from 1
 */
public record RunKey(TaskKey task, int run) {
    /**
     * Reads a key from its form in the log.
     *
     * @param proto the message
     * @return the key
     */
    public static RunKey of(RunKeyProto proto) {
        return new RunKey(TaskKey.of(proto.getTask()), proto.getRun());
    }

    /**
     * Converts the key to its form in the log.
     *
     * @return the message
     */
    public RunKeyProto toProto() {
        return RunKeyProto.newBuilder().setTask(task.toProto()).setRun(run).build();
    }

    @Override
    public String toString() {
        return task + "#" + run;
    }
}
