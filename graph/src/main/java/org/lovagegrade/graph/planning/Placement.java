package org.lovagegrade.graph.planning;

import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.wire.proto.WorkerProto;

/**
 * A task that is to start on a worker.
 *
 * @param step the step
 * @param index the number of the task
 * @param run the number of the run
 * @param worker the worker
 */
public record Placement(StepRecord step, int index, int run, WorkerProto worker) {}
