package org.lovagegrade.graph.planning;

import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.graph.machine.TaskRecord;
import org.lovagegrade.wire.proto.WorkerProto;

/**
 * A decision to start a task on a worker.
 *
 * @param step the step of the task
 * @param index the number of the task within its step, from 0
 * @param run the number of the new run, from 1
 * @param worker the worker that is to run the task
 */
public record Placement(StepRecord step, int index, int run, WorkerProto worker) {
    /**
     * The task.
     *
     * @return its record
     */
    public TaskRecord task() {
        return step.tasks().get(index);
    }
}
