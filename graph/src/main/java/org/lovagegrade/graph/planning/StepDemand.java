package org.lovagegrade.graph.planning;

import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.wire.proto.QueueProto;

/**
 * A step with tasks that may start now.
 *
 * @param step the step
 * @param queue its queue
 * @param waiting the numbers of the tasks that wait and are not being started
 * @param urgency whether the step's job can still meet its objective
 * @param sinceMs since when the step's job is due, on the time of day in milliseconds
 * @param avoided gives the workers that a task should keep away from, if others have room
 */
public record StepDemand(
        StepRecord step,
        QueueProto queue,
        List<Integer> waiting,
        Urgency urgency,
        long sinceMs,
        IntFunction<Set<String>> avoided) {
    boolean needsTicket() {
        return queue.hasAdvice();
    }

    int priority() {
        return queue.getPriority();
    }

    String workspace() {
        return step.job().graph().getWorkspace();
    }
}
