package org.lovagegrade.graph.leader;

import java.util.Optional;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.graph.planning.Urgency;
import org.lovagegrade.wire.proto.GraphStateProto;
import org.lovagegrade.wire.proto.QueueProto;

/** What the end of a job is worth to its caller. */
enum JobResult {
    /** Completed within the objective, or without having one. */
    IN_TIME,
    /** Completed after the objective, while the result was still useful. */
    LATE,
    /** Completed too late to be useful. */
    USELESS,
    /** Failed. */
    FAILED,
    /** Cancelled by the caller. */
    CANCELLED;

    /**
     * Determines the result of a finished job; a periodic job is judged by its last occurrence.
     *
     * @param job the job
     * @param queue its queue, or empty if it is not known
     * @param nowMs the present time, in milliseconds since 1970
     * @return the result
     */
    static JobResult of(JobRecord job, Optional<QueueProto> queue, long nowMs) {
        if (job.state() == GraphStateProto.GRAPH_FAILED) {
            return FAILED;
        }
        if (job.state() == GraphStateProto.GRAPH_CANCELLED) {
            return CANCELLED;
        }
        int last = job.occurrences().size() - 1;
        boolean hasObjective =
                queue.isPresent() && Urgency.objectiveMs(job.occurrences().get(last), queue.get()) > 0;
        if (!hasObjective) {
            return IN_TIME;
        }
        return switch (Urgency.of(job, last, queue.get(), job.dueAtMs(last), nowMs)) {
            case IN_TIME -> IN_TIME;
            case LATE -> LATE;
            case OVERDUE -> USELESS;
        };
    }
}
