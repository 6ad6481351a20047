package org.lovagegrade.graph.leader;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lovagegrade.graph.machine.CrashHistory;
import org.lovagegrade.graph.machine.JobRecord;
import org.lovagegrade.graph.machine.TaskKey;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.wire.proto.GiveUpProto;
import org.lovagegrade.wire.proto.GraphCommandProto;

/** Gives up jobs that have a task which crashes its workers. */
final class CrashingJobs {
    private static final String JOBS_GIVEN_UP = "lovagegrade_jobs_given_up";

    private final CommandProposer proposer;
    private final Metrics metrics;
    /** The ids of the jobs whose end was proposed to the log and is not committed yet. */
    private final Set<String> proposed = new HashSet<>();

    /** Why a job is given up. */
    private enum Reason {
        CRASHED_IN_ISOLATION,
        CRASHED_TOO_OFTEN
    }

    CrashingJobs(CommandProposer proposer, Metrics metrics) {
        this.proposer = proposer;
        this.metrics = metrics.declare(JOBS_GIVEN_UP, Reason.class);
    }

    /** Proposes the end of the job if one of its tasks must not be started any more; returns whether that is so. */
    boolean giveUpIfCrashing(JobRecord job) {
        Optional<TaskKey> crashing = job.crashingTask();
        if (crashing.isPresent() && proposed.add(job.id())) {
            giveUp(job, crashing.get());
        }
        return crashing.isPresent();
    }

    private void giveUp(JobRecord job, TaskKey task) {
        CrashHistory history = job.step(task.occurrence(), task.step())
                .tasks()
                .get(task.index())
                .crashHistory();
        metrics.count(JOBS_GIVEN_UP, history.isProvenCause() ? Reason.CRASHED_IN_ISOLATION : Reason.CRASHED_TOO_OFTEN);
        Log.event("jobGivenUp")
                .with("job", job.id())
                .with("task", task.toString())
                .with("crashes", history.crashes())
                .with("isolatedCrashes", history.isolatedCrashes())
                .warn();
        proposer.propose(GraphCommandProto.newBuilder()
                .setCancel(job.id())
                .setGiveUp(GiveUpProto.newBuilder().setTask(task.toProto())));
    }

    void forget(JobRecord finished) {
        proposed.remove(finished.id());
    }
}
