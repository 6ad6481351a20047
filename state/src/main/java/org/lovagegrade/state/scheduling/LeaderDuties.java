package org.lovagegrade.state.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lovagegrade.core.Action;
import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.Decision;
import org.lovagegrade.core.Event;
import org.lovagegrade.core.Explanation;
import org.lovagegrade.core.Policy;
import org.lovagegrade.core.Scheduler;
import org.lovagegrade.core.lease.LeaseTable;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.state.machine.Applied;
import org.lovagegrade.state.machine.StateMachine;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.ConfigChangeProto;
import org.lovagegrade.wire.proto.DecisionActionProto;
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.DecisionsProto;
import org.lovagegrade.wire.proto.HeartbeatAnswerProto;
import org.lovagegrade.wire.proto.HeartbeatBatchAnswerProto;
import org.lovagegrade.wire.proto.HeartbeatBatchProto;
import org.lovagegrade.wire.proto.HeartbeatProto;
import org.lovagegrade.wire.proto.JobProto;
import org.lovagegrade.wire.proto.JobStateProto;
import org.lovagegrade.wire.proto.TaskProto;
import org.lovagegrade.wire.proto.TaskStateProto;

/**
 * What the leader does besides the log: it runs the scheduler, grants leases and answers workers. It lives from the
 * moment a replica may decide until it may not; all that it knows besides the state machine is heard anew.
 */
public final class LeaderDuties {
    private static final String DECISION_HISTOGRAM = "lovagegrade_decision_us";
    private static final long NANOS_PER_US = 1_000;

    private final StateMachine machine;
    private final Proposer proposer;
    private final Metrics metrics;
    private final Scheduler scheduler = Scheduler.with(Policy.current());
    private final LeaseTable leases = new LeaseTable();
    private final WorkerRegistry workers = new WorkerRegistry();
    private final WorkerAnswers answers;
    private final long wallOffsetMs;

    /**
     * Takes over from whoever led before: every lease counts as renewed up to now.
     *
     * @param machine the state, with all that was committed before applied
     * @param proposer takes decisions into the log
     * @param metrics counts and times the decisions
     * @param nowMs the present time on the monotonic clock, in milliseconds
     * @param wallMs the present time of day, in milliseconds since the epoch
     */
    public LeaderDuties(StateMachine machine, Proposer proposer, Metrics metrics, long nowMs, long wallMs) {
        this.machine = machine;
        this.proposer = proposer;
        this.metrics = metrics;
        this.answers = new WorkerAnswers(machine, leases);
        this.wallOffsetMs = wallMs - nowMs;
        machine.configView()
                .getWorkspacesList()
                .forEach(
                        workspace -> scheduler.apply(nowMs, new Event.WorkspaceSet(ProtoMapping.workspace(workspace))));
        machine.configView()
                .getClassesList()
                .forEach(workClass -> scheduler.apply(nowMs, new Event.ClassSet(ProtoMapping.workClass(workClass))));
        machine.jobs().forEach(job -> restore(job.build(), nowMs));
        decide(nowMs);
    }

    /**
     * Notes what a committed command changed.
     *
     * @param applied what came of the command
     * @param nowMs the present time in milliseconds
     */
    public void applied(Applied applied, long nowMs) {
        if (applied.repeated()) {
            return;
        }
        applied.late().forEach(late -> undo(late, nowMs));
        CommandProto command = applied.command();
        boolean isOk = applied.outcome().getReason().isEmpty();
        if (command.hasConfigure() && isOk) {
            configured(command.getConfigure().getChange(), nowMs);
        } else if (command.hasSubmit() && isOk) {
            scheduler.apply(
                    nowMs,
                    new Event.JobSubmitted(ProtoMapping.job(command.getSubmit().getSpec(), nowMs)));
        } else if (command.hasCancel() && isOk) {
            scheduler.apply(nowMs, new Event.JobCancelled(command.getCancel().getJob()));
        }
    }

    /**
     * Takes the heartbeats of some workers and answers them.
     *
     * @param batch the heartbeats, as an entry gathered them
     * @param nowMs the present time in milliseconds
     * @return the answers, in the same order
     */
    public HeartbeatBatchAnswerProto heartbeats(HeartbeatBatchProto batch, long nowMs) {
        batch.getHeartbeatsList().forEach(heartbeat -> note(heartbeat, nowMs));
        decide(nowMs);
        HeartbeatBatchAnswerProto.Builder all = HeartbeatBatchAnswerProto.newBuilder();
        for (HeartbeatProto heartbeat : batch.getHeartbeatsList()) {
            HeartbeatAnswerProto answer = answers.answer(heartbeat, nowMs);
            all.addAnswers(answer);
        }
        return all.build();
    }

    /**
     * Lets time pass: leases expire, workers fall silent, decisions come due.
     *
     * @param nowMs the present time in milliseconds
     */
    public void tick(long nowMs) {
        for (String worker : workers.takeNewlySilent(nowMs)) {
            Log.event("workerSilent").with("worker", worker).warn();
            scheduler.apply(nowMs, new Event.WorkerUnresponsive(worker));
        }
        for (Attempt attempt : leases.takeExpired(nowMs)) {
            scheduler.apply(nowMs, new Event.LeaseExpired(attempt));
        }
        decide(nowMs);
    }

    /**
     * Tells why a job waits.
     *
     * @param job the job's id
     * @param nowMs the present time in milliseconds
     * @return the explanation, or empty
     */
    public Optional<Explanation> explain(String job, long nowMs) {
        return scheduler.explain(job, nowMs);
    }

    /**
     * Gives read access for status pages.
     *
     * @return the scheduler
     */
    public Scheduler scheduler() {
        return scheduler;
    }

    private void configured(ConfigChangeProto change, long nowMs) {
        if (change.hasSetWorkspace()) {
            scheduler.apply(nowMs, new Event.WorkspaceSet(ProtoMapping.workspace(change.getSetWorkspace())));
        } else if (change.hasSetClass()) {
            scheduler.apply(nowMs, new Event.ClassSet(ProtoMapping.workClass(change.getSetClass())));
        }
    }

    private void restore(JobProto job, long nowMs) {
        boolean holds = job.getTasksList().stream().anyMatch(task -> task.getState() == TaskStateProto.TASK_HELD);
        boolean isLive = job.getState() == JobStateProto.WAITING
                || job.getState() == JobStateProto.RUNNING
                || job.getState() == JobStateProto.SET_ASIDE;
        if (!isLive && !holds) {
            return;
        }
        List<Attempt> held = new ArrayList<>();
        List<Integer> ended = new ArrayList<>();
        List<Integer> attempts = new ArrayList<>();
        String id = job.getSpec().getId();
        for (TaskProto task : job.getTasksList()) {
            attempts.add(task.getAttempt());
            if (task.getState() == TaskStateProto.TASK_ENDED) {
                ended.add(task.getIndex());
            } else if (task.getState() == TaskStateProto.TASK_HELD) {
                Attempt attempt = new Attempt(id, task.getIndex(), task.getAttempt(), task.getWorker());
                held.add(attempt);
                leases.granted(attempt, nowMs, task.getLeaseMs());
            }
        }
        long submittedAtMs = Math.min(nowMs, job.getSpec().getSubmittedAtMs() - wallOffsetMs);
        scheduler.apply(
                nowMs, new Event.JobRestored(ProtoMapping.job(job.getSpec(), submittedAtMs), held, ended, attempts));
        if (!isLive) {
            scheduler.apply(nowMs, new Event.JobCancelled(id));
        }
    }

    private void note(HeartbeatProto heartbeat, long nowMs) {
        String worker = heartbeat.getWorker();
        boolean holdsOther = machine.heldBy(worker).values().stream()
                .anyMatch(task -> !task.getWorkerBoot().equals(heartbeat.getBootId()));
        WorkerRegistry.Hearing hearing =
                workers.heard(ProtoMapping.worker(heartbeat), heartbeat.getBootId(), holdsOther, nowMs);
        if (hearing == WorkerRegistry.Hearing.STALE) {
            return;
        }
        if (hearing == WorkerRegistry.Hearing.RESTARTED) {
            Log.event("workerAnnounced")
                    .with("worker", worker)
                    .with("bootId", heartbeat.getBootId())
                    .info();
            scheduler.apply(nowMs, new Event.WorkerAnnounced(ProtoMapping.worker(heartbeat)));
        } else if (hearing == WorkerRegistry.Hearing.HEARD_AGAIN) {
            Log.event("workerHeard").with("worker", worker).info();
            scheduler.apply(nowMs, new Event.WorkerResponsive(ProtoMapping.worker(heartbeat)));
        }
        if (heartbeat.getLeaving()) {
            scheduler.apply(nowMs, new Event.WorkerLeaving(worker));
        }
        AttemptReports.events(heartbeat).forEach(event -> scheduler.apply(nowMs, event));
    }

    private void decide(long nowMs) {
        long startedNs = System.nanoTime();
        List<Decision> decisions = scheduler.decide(nowMs);
        if (decisions.isEmpty()) {
            return;
        }
        metrics.record(DECISION_HISTOGRAM, (double) (System.nanoTime() - startedNs) / NANOS_PER_US / decisions.size());
        DecisionsProto.Builder batch = DecisionsProto.newBuilder();
        for (Decision decision : decisions) {
            note(decision, nowMs);
            if (isKept(decision.action())) {
                String bootId = workers.bootId(decision.worker()).orElse("");
                batch.addDecisions(ProtoMapping.decision(decision, bootId));
            }
        }
        if (batch.getDecisionsCount() > 0) {
            proposer.propose(CommandProto.newBuilder().setDecisions(batch));
        }
    }

    private void note(Decision decision, long nowMs) {
        metrics.count("lovagegrade_decisions_" + decision.action().text(), decision.reason());
        switch (decision.action()) {
            case PLACE -> leases.granted(decision.toAttempt(), nowMs, decision.leaseMs());
            case CHECKPOINT -> answers.checkpointWanted(decision.toAttempt());
            case END, LEASE_EXPIRED -> over(decision.toAttempt());
            case FAIL -> {
                if (decision.task() != Decision.WHOLE_JOB) {
                    over(decision.toAttempt());
                }
            }
            default -> {}
        }
    }

    private void over(Attempt attempt) {
        leases.released(attempt);
        answers.over(attempt);
    }

    private static boolean isKept(Action action) {
        return action != Action.CHECKPOINT && action != Action.ACCEPT && action != Action.REFUSE;
    }

    /** A placement that came too late was never told to the worker; its room is free again. */
    private void undo(DecisionProto late, long nowMs) {
        if (late.getAction() == DecisionActionProto.PLACE) {
            Attempt attempt = new Attempt(late.getJob(), late.getTask(), late.getAttempt(), late.getWorker());
            scheduler.apply(nowMs, new Event.AttemptStopped(attempt));
        }
    }
}
