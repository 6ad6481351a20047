package org.lovagegrade.state.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Optional;
import org.lovagegrade.core.Explanation;
import org.lovagegrade.state.machine.RefusalReason;
import org.lovagegrade.state.machine.StateMachine;
import org.lovagegrade.wire.proto.ExplainProto;
import org.lovagegrade.wire.proto.JobProto;
import org.lovagegrade.wire.proto.OutcomeStatusProto;
import org.lovagegrade.wire.proto.QueryReplyProto;
import org.lovagegrade.wire.proto.QueryRequestProto;
import org.lovagegrade.wire.proto.WorkerStatusProto;

/** Answers queries about jobs, workers and entries from the leader's state. */
public final class StatusQueries {
    private static final double PERCENT = 100.0;
    private static final int MAX_JOBS_LISTED = 1_000;

    private final StateMachine machine;
    private final LeaderScheduler leaderScheduler;
    private final EntryViews views;

    /**
     * Creates the query handler.
     *
     * @param machine the state machine
     * @param leaderScheduler the leader's scheduler
     * @param views the last requests of the entries
     */
    public StatusQueries(StateMachine machine, LeaderScheduler leaderScheduler, EntryViews views) {
        this.machine = machine;
        this.leaderScheduler = leaderScheduler;
        this.views = views;
    }

    /**
     * Answers a query. Without operator rights, a caller sees only the jobs of its key's workspace.
     *
     * @param query the query
     * @param nowMs the current monotonic time in milliseconds
     * @return the reply
     */
    public QueryReplyProto answer(QueryRequestProto query, long nowMs) {
        Optional<String> workspace = machine.workspaceOfKey(query.getKeySha256());
        if (!query.getOperator() && workspace.isEmpty()) {
            return refused(RefusalReason.WRONG_KEY);
        }
        return switch (query.getKind()) {
            case QUERY_JOB -> job(query, workspace);
            case QUERY_JOBS -> jobs(query, workspace);
            case QUERY_EXPLAIN -> explain(query, workspace, nowMs);
            case QUERY_STATUS -> status(nowMs);
            default -> refused(RefusalReason.BAD_VALUE);
        };
    }

    private static QueryReplyProto refused(RefusalReason reason) {
        return QueryReplyProto.newBuilder()
                .setStatus(OutcomeStatusProto.REFUSED)
                .setReason(reason.text())
                .build();
    }

    private QueryReplyProto job(QueryRequestProto query, Optional<String> workspace) {
        return visibleJob(query, workspace)
                .map(job -> QueryReplyProto.newBuilder().addJobs(job).build())
                .orElseGet(() -> refused(RefusalReason.UNKNOWN_JOB));
    }

    private Optional<JobProto> visibleJob(QueryRequestProto query, Optional<String> workspace) {
        return machine.job(query.getJob())
                .filter(job -> query.getOperator()
                        || workspace.equals(Optional.of(job.getSpec().getWorkspace())));
    }

    /** Lists only the newest jobs, so that the reply fits into a message regardless of the number of jobs. */
    private QueryReplyProto jobs(QueryRequestProto query, Optional<String> workspace) {
        Deque<JobProto> newest = new ArrayDeque<>();
        for (JobProto.Builder job : machine.jobs()) {
            if (query.getOperator()
                    || workspace.equals(Optional.of(job.getSpec().getWorkspace()))) {
                newest.add(job.build());
            }
            if (newest.size() > MAX_JOBS_LISTED) {
                newest.remove();
            }
        }
        return QueryReplyProto.newBuilder().addAllJobs(newest).build();
    }

    private QueryReplyProto explain(QueryRequestProto query, Optional<String> workspace, long nowMs) {
        Optional<JobProto> job = visibleJob(query, workspace);
        if (job.isEmpty()) {
            return refused(RefusalReason.UNKNOWN_JOB);
        }
        Optional<Explanation> explanation = leaderScheduler.explain(query.getJob(), nowMs);
        ExplainProto.Builder explain = ExplainProto.newBuilder();
        if (explanation.isEmpty()) {
            explain.setReason(job.get().getReason())
                    .setText("the job is over: " + job.get().getReason());
        } else {
            Explanation found = explanation.get();
            explain.setReason(found.reason().text())
                    .setText(describe(found, job.get()))
                    .setWaitedMs(found.waitedMs())
                    .setWaitTargetMs(found.waitTargetMs())
                    .setWorkspaceShare(found.workspaceShare())
                    .setWorkspaceUse(found.workspaceUse());
        }
        return QueryReplyProto.newBuilder()
                .addJobs(job.get())
                .setExplain(explain)
                .build();
    }

    private static String describe(Explanation explanation, JobProto job) {
        String demand = String.format(
                Locale.ROOT,
                "%d of %d tasks wait, each needs %.3f cores, %d MB, %d accelerators",
                explanation.waitingTasks(),
                job.getTasksCount(),
                job.getSpec().getPerTask().getMilliCores() / 1_000.0,
                job.getSpec().getPerTask().getMemoryMb(),
                job.getSpec().getPerTask().getAccelerators());
        String workspaceUse = String.format(
                Locale.ROOT,
                "; its team uses %.1f%% of the cell, its share is %.1f%%",
                explanation.workspaceUse() * PERCENT,
                explanation.workspaceShare() * PERCENT);
        return switch (explanation.reason()) {
            case NOT_WAITING -> "nothing waits: all tasks are placed or have ended";
            case NO_ROOM -> "no worker has room: " + demand + workspaceUse;
            case WORKSPACE_AT_LIMIT -> "the team is at its limit: " + demand + workspaceUse;
            case BACKING_OFF -> "its tasks failed and are tried again after a pause";
            case LARGER_THAN_ANY_WORKER -> "set aside until a large enough worker is announced: " + demand;
            case LARGER_THAN_CELL -> "set aside until there are enough workers to run all tasks at once: " + demand;
            case LARGER_THAN_WORKSPACE_LIMIT -> "set aside until its team's limit is raised: " + demand;
            case CANCELLED -> "it was cancelled; what runs is being stopped";
            case FAILED_TOO_OFTEN -> "its tasks failed too often on workers that run others well";
            case CRASHES_WORKERS -> "workers restarted again and again under one of its tasks";
            default -> explanation.reason().text();
        };
    }

    private QueryReplyProto status(long nowMs) {
        QueryReplyProto.Builder reply = QueryReplyProto.newBuilder().setRevision(machine.revision());
        leaderScheduler
                .scheduler()
                .view()
                .forEachWorker(worker -> reply.addWorkers(WorkerStatusProto.newBuilder()
                        .setId(worker.id())
                        .setFailureDomain(worker.failureDomain())
                        .setRack(worker.rack())
                        .setCapacity(ProtoMapping.resources(worker.capacity()))
                        .setFree(ProtoMapping.resources(worker.free()))
                        .setSilent(worker.unresponsive())
                        .setSuspect(worker.suspect())
                        .setTasks(worker.tasks())));
        machine.entries().values().stream()
                .sorted((a, b) -> a.getId().compareTo(b.getId()))
                .forEach(entry -> reply.addEntries(views.status(entry, nowMs)));
        return reply.build();
    }
}
