package org.lovagegrade.graph.leader;

import java.util.Optional;
import org.lovagegrade.graph.machine.GraphStateMachine;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.wire.proto.QueueProto;

/**
 * Finds the job that a request refers to. A job belongs to the host and the path prefix at which it was accepted, also once a
 * later configuration has another queue there, and it is shown to its own workspace only.
 */
final class JobLookup {
    private final GraphStateMachine machine;

    JobLookup(GraphStateMachine machine) {
        this.machine = machine;
    }

    /**
     * Finds a job by a request to a queue.
     *
     * @param queue the queue that the request's host and path select now
     * @param workspace the workspace of the request's key, or an empty string without a known key
     * @param jobId the rest of the path
     * @return the job, or empty if the queue has none of this id that the workspace may see
     */
    Optional<JobRecord> find(QueueProto queue, String workspace, String jobId) {
        return machine.job(jobId)
                .filter(job -> isOf(job, queue))
                .filter(job -> queue.getOpenToAll() || maySee(workspace, job));
    }

    /** Whether a job was accepted by the queue, or by an earlier one at its place. */
    boolean isOf(JobRecord job, QueueProto queue) {
        return job.graph().getQueue().equals(queue.getName()) || isAtPlaceOf(job, queue);
    }

    private boolean isAtPlaceOf(JobRecord job, QueueProto queue) {
        if (!job.graph().getPathPrefix().isEmpty()) {
            return isPlace(queue, job.graph().getHost(), job.graph().getPathPrefix());
        }
        return machine.queue(job.graph().getQueue())
                .filter(accepting -> isPlace(queue, accepting.getHost(), accepting.getPathPrefix()))
                .isPresent();
    }

    private static boolean isPlace(QueueProto queue, String host, String pathPrefix) {
        return queue.getHost().equalsIgnoreCase(host) && queue.getPathPrefix().equals(pathPrefix);
    }

    /** A workspace that is no longer configured may have been renamed, and its keys then name another one. */
    private boolean maySee(String workspace, JobRecord job) {
        String owner = job.graph().getWorkspace();
        return owner.equals(workspace) || owner.isEmpty() || !isConfigured(owner);
    }

    private boolean isConfigured(String workspace) {
        return machine.configuration()
                .flatMap(configuration -> configuration.workspace(workspace))
                .isPresent();
    }
}
