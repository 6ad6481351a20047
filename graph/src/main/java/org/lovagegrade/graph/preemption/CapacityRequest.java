package org.lovagegrade.graph.preemption;

import java.util.List;
import org.lovagegrade.graph.machine.ResourceVector;

/**
 * Tasks of a step that find no free capacity in time.
 *
 * @param step the name of the step
 * @param priority the priority number of its queue; only runs of higher numbers may be stopped
 * @param perTask the resources of a task
 * @param tasks the number of tasks
 * @param isGang whether the tasks can only start together
 * @param maxPerWorker how many of the tasks a worker may take
 * @param perTaskCoreMs the expected work of a task, in milliseconds of one core
 * @param workers the ids of the workers that may run the tasks
 */
public record CapacityRequest(
        String step,
        int priority,
        ResourceVector perTask,
        int tasks,
        boolean isGang,
        int maxPerWorker,
        long perTaskCoreMs,
        List<String> workers) {}
