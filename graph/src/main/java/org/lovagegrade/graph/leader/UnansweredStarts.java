package org.lovagegrade.graph.leader;

import java.util.LinkedHashSet;
import java.util.Set;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.RunRecord;
import org.lovagegrade.wire.proto.GraphCommandProto;
import org.lovagegrade.wire.proto.UnansweredStartsProto;

/**
 * Collects the runs of which an order to start them went unanswered, and proposes them to the log together. A later leader
 * has to know them, since such an order may still be carried out, also by another incarnation of the worker.
 */
final class UnansweredStarts {
    private final CommandProposer proposer;
    private final Set<RunKey> runs = new LinkedHashSet<>();

    UnansweredStarts(CommandProposer proposer) {
        this.proposer = proposer;
    }

    /** Notes that a start of a run went unanswered, or may have gone unanswered under an earlier leader. */
    void add(RunRecord run) {
        if (!run.isStartUnanswered()) {
            runs.add(run.key());
        }
    }

    /** Proposes the collected runs. */
    void tick() {
        if (runs.isEmpty()) {
            return;
        }
        UnansweredStartsProto.Builder unanswered = UnansweredStartsProto.newBuilder();
        runs.forEach(run -> unanswered.addRuns(run.toProto()));
        proposer.propose(GraphCommandProto.newBuilder().setUnansweredStarts(unanswered));
        runs.clear();
    }
}
