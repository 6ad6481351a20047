package org.lovagegrade.graph.planning;

import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import org.lovagegrade.graph.machine.StepRecord;
import org.lovagegrade.overload.CostOfDelay;
import org.lovagegrade.wire.proto.QueueProto;

/**
 * A step with tasks that may start now.
 *
 * @param step the step
 * @param queue its queue
 * @param waiting the numbers of the tasks that wait and have no pending start
 * @param urgency whether the occurrence can still meet its objective
 * @param dueAtMs when the occurrence became due, in milliseconds since 1970
 * @param cost what it costs to let the occurrence wait
 * @param isSuspect whether a task, by its number, may crash its worker and should not share it with other jobs
 * @param mayShareWorker whether such a task may share a worker after all, since it has waited long for one of its own
 * @param avoidedWorkers the ids of workers that a task should avoid while others have free capacity, by its number
 */
public record StepDemand(
        StepRecord step,
        QueueProto queue,
        List<Integer> waiting,
        Urgency urgency,
        long dueAtMs,
        CostOfDelay cost,
        IntPredicate isSuspect,
        IntPredicate mayShareWorker,
        IntFunction<Set<String>> avoidedWorkers) {
    boolean needsTicket() {
        return queue.hasAdvice();
    }

    String job() {
        return step.job().id();
    }

    boolean hasSuspects() {
        return waiting.stream().anyMatch(isSuspect::test);
    }

    /** Whether the tasks that may crash their worker have waited long enough to share one; for a gang, all of them. */
    boolean maySuspectsShareWorkers() {
        return waiting.stream().filter(isSuspect::test).allMatch(mayShareWorker::test);
    }

    int priority() {
        return queue.getPriority();
    }

    String workspace() {
        return step.job().graph().getWorkspace();
    }
}
