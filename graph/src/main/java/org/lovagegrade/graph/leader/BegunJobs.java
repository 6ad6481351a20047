package org.lovagegrade.graph.leader;

import java.util.LinkedHashSet;
import java.util.Set;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.wire.proto.BegunJobsProto;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.GraphStateProto;

/**
 * Collects the jobs of which a worker has confirmed a run, and proposes them to the log together. A job whose starts are
 * only committed has not begun: they may be refused, or their worker may be out of reach.
 */
final class BegunJobs {
    /** Callers may be shown an older state for far longer than this. */
    private static final long INTERVAL_MS = 100;

    private final CommandProposer proposer;
    private final Set<String> jobs = new LinkedHashSet<>();
    private long nextProposalMs;

    BegunJobs(CommandProposer proposer) {
        this.proposer = proposer;
    }

    /** Notes that a worker has confirmed a run. */
    void add(RunRecord run) {
        JobRecord job = run.step().job();
        if (job.state() == GraphStateProto.GRAPH_QUEUED) {
            jobs.add(job.id());
        }
    }

    /** Proposes the collected jobs if that is due. */
    void tick(long nowMs) {
        if (jobs.isEmpty() || nowMs < nextProposalMs) {
            return;
        }
        nextProposalMs = nowMs + INTERVAL_MS;
        proposer.propose(GraphCommandProto.newBuilder()
                .setBegun(BegunJobsProto.newBuilder().addAllJobs(jobs)));
        jobs.clear();
    }
}
