package org.lovagegrade.graph.machine;

/**
 * Identifies one run of a task.
 *
 * @param task the task
 * @param run the number of the run, from 1
 */
public record RunKey(TaskKey task, int run) {
    @Override
    public String toString() {
        return task + "#" + run;
    }
}
