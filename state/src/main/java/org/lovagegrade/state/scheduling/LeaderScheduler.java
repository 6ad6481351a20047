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
import org.lovagegrade.core.WorkerRestarts;
import org.lovagegrade.core.lease.LeaseTable;
import org.lovagegrade.kernel.logging.Log;
import org.lovagegrade.kernel.metrics.Metrics;
import org.lovagegrade.state.machine.ApplyResult;
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
 * Runs the scheduler, grants leases and answers workers on the leader. An instance is used from the time a replica
 * becomes leader until it no longer leads; whatever is not in the state machine is rebuilt from heartbeats.
 */
public final class LeaderScheduler {
    private static final String DECISION_HISTOGRAM = "lovagegrade_decision_us";
    private static final long NANOS_PER_US = 1_000;

    private final StateMachine machine;
    private final Proposer proposer;
    private final Metrics metrics;
    private final Scheduler scheduler = Scheduler.with(Policy.current());
    private final LeaseTable leases = new LeaseTable();
    private final WorkerRegistry workers;
    private final HeartbeatResponder responder;
    private final Evacuations evacuations;
    private final Optional<SubmissionControl> submissions;
    private final long wallOffsetMs;

    /**
     * Takes over from the previous leader, which may have renewed leases until just now: every lease counts as renewed
     * at {@code nowMs}.
     *
     * @param machine the state machine, with all previously committed commands applied
     * @param proposer proposes the decisions
     * @param metrics counts and times the decisions
     * @param nowMs the current monotonic time in milliseconds
     * @param wallMs the current wall-clock time in milliseconds since the epoch
     * @param admissionControl whether jobs may be refused for load
     */
    public LeaderScheduler(
            StateMachine machine,
            Proposer proposer,
            Metrics metrics,
            long nowMs,
            long wallMs,
            boolean admissionControl) {
        this.machine = machine;
        this.proposer = proposer;
        this.metrics = metrics;
        this.workers = new WorkerRegistry(nowMs);
        this.responder = new HeartbeatResponder(machine, leases);
        this.evacuations = new Evacuations(machine, scheduler, responder, nowMs);
        this.wallOffsetMs = wallMs - nowMs;
        this.submissions = admissionControl
                ? Optional.of(new SubmissionControl(machine, scheduler, wallOffsetMs))
                : Optional.empty();
        machine.configView()
                .getWorkspacesList()
                .forEach(
                        workspace -> scheduler.apply(nowMs, new Event.WorkspaceSet(ProtoMapping.workspace(workspace))));
        machine.configView()
                .getClassesList()
                .forEach(workClass -> scheduler.apply(nowMs, new Event.ClassSet(ProtoMapping.workClass(workClass))));
        submissions.ifPresent(
                control -> machine.configView().getWorkspacesList().forEach(control::workspaceSet));
        evacuations.restore(nowMs);
        machine.jobs().forEach(job -> restoreJob(job.build(), nowMs));
        decide(nowMs);
    }

    /**
     * Passes the effects of a committed command on to the scheduler.
     *
     * @param result the result of applying the command
     * @param nowMs the current monotonic time in milliseconds
     */
    public void commandApplied(ApplyResult result, long nowMs) {
        if (result.repeated()) {
            return;
        }
        result.staleDecisions().forEach(decision -> releasePlacement(decision, nowMs));
        CommandProto command = result.command();
        boolean isOk = result.outcome().getReason().isEmpty();
        if (command.hasConfigure() && isOk) {
            applyConfigChange(command.getConfigure().getChange(), nowMs);
        } else if (command.hasSubmit() && !isOk) {
            submissions.ifPresent(control ->
                    control.submissionRefused(command.getSubmit().getSpec().getId()));
        } else if (command.hasSubmit()) {
            scheduler.apply(
                    nowMs,
                    new Event.JobSubmitted(ProtoMapping.job(command.getSubmit().getSpec(), nowMs)));
        } else if (command.hasCancel() && isOk) {
            submissions.ifPresent(
                    control -> control.jobCancelled(command.getCancel().getJob()));
            scheduler.apply(nowMs, new Event.JobCancelled(command.getCancel().getJob()));
        } else if (command.hasDecisions()) {
            command.getDecisions().getDecisionsList().forEach(responder::decisionApplied);
        }
    }

    /**
     * Processes the heartbeats of several workers.
     *
     * @param batch the heartbeats, as collected by an entry
     * @param nowMs the current monotonic time in milliseconds
     * @return the answers, in the same order
     */
    public HeartbeatBatchAnswerProto handleHeartbeats(HeartbeatBatchProto batch, long nowMs) {
        batch.getHeartbeatsList().forEach(heartbeat -> processHeartbeat(heartbeat, nowMs));
        decide(nowMs);
        HeartbeatBatchAnswerProto.Builder batchAnswer = HeartbeatBatchAnswerProto.newBuilder();
        for (HeartbeatProto heartbeat : batch.getHeartbeatsList()) {
            HeartbeatAnswerProto answer = responder.answer(heartbeat, nowMs);
            batchAnswer.addAnswers(answer);
        }
        return batchAnswer.build();
    }

    /**
     * Processes what is due: unresponsive workers, expired leases, scheduling decisions.
     *
     * @param nowMs the current monotonic time in milliseconds
     */
    public void tick(long nowMs) {
        for (String worker : workers.takeNewlyUnresponsive(nowMs)) {
            Log.event("workerSilent").with("worker", worker).warn();
            scheduler.apply(nowMs, new Event.WorkerUnresponsive(worker));
        }
        for (Attempt attempt : leases.takeExpired(nowMs)) {
            scheduler.apply(nowMs, new Event.LeaseExpired(attempt));
        }
        decide(nowMs);
        submissions.ifPresent(control -> control.tick(nowMs));
    }

    /**
     * Explains why a job is waiting.
     *
     * @param job the job's id
     * @param nowMs the current monotonic time in milliseconds
     * @return the explanation, or empty if the scheduler has no such job
     */
    public Optional<Explanation> explain(String job, long nowMs) {
        return scheduler.explain(job, nowMs);
    }

    /**
     * Returns the evacuations that this leader has put in force.
     *
     * @return the evacuations
     */
    public Evacuations evacuations() {
        return evacuations;
    }

    /**
     * Returns the control of submissions under load.
     *
     * @return the control, or empty if jobs are never refused for load
     */
    public Optional<SubmissionControl> submissions() {
        return submissions;
    }

    /**
     * Returns the scheduler, for read access by status queries.
     *
     * @return the scheduler
     */
    public Scheduler scheduler() {
        return scheduler;
    }

    private void applyConfigChange(ConfigChangeProto change, long nowMs) {
        if (change.hasSetWorkspace()) {
            scheduler.apply(nowMs, new Event.WorkspaceSet(ProtoMapping.workspace(change.getSetWorkspace())));
            submissions.ifPresent(control -> control.workspaceSet(change.getSetWorkspace()));
        } else if (change.hasSetClass()) {
            scheduler.apply(nowMs, new Event.ClassSet(ProtoMapping.workClass(change.getSetClass())));
        } else if (change.hasSetEvacuation()) {
            evacuations.applied(change.getSetEvacuation(), nowMs);
        }
    }

    private void restoreJob(JobProto job, long nowMs) {
        boolean hasAssignedTask =
                job.getTasksList().stream().anyMatch(task -> task.getState() == TaskStateProto.TASK_HELD);
        boolean isUnfinished = job.getState() == JobStateProto.WAITING
                || job.getState() == JobStateProto.RUNNING
                || job.getState() == JobStateProto.SET_ASIDE;
        if (!isUnfinished && !hasAssignedTask) {
            return;
        }
        List<Attempt> assigned = new ArrayList<>();
        List<Integer> ended = new ArrayList<>();
        List<Integer> attempts = new ArrayList<>();
        List<WorkerRestarts> restarts = new ArrayList<>();
        String id = job.getSpec().getId();
        for (TaskProto task : job.getTasksList()) {
            attempts.add(task.getAttempt());
            restarts.add(new WorkerRestarts(task.getWorkerRestarts()));
            if (task.getState() == TaskStateProto.TASK_ENDED) {
                ended.add(task.getIndex());
            } else if (task.getState() == TaskStateProto.TASK_HELD) {
                Attempt attempt = new Attempt(id, task.getIndex(), task.getAttempt(), task.getWorker());
                assigned.add(attempt);
                leases.granted(attempt, nowMs, task.getLeaseMs());
            }
        }
        long submittedAtMs = Math.min(nowMs, job.getSpec().getSubmittedAtMs() - wallOffsetMs);
        scheduler.apply(
                nowMs,
                new Event.JobRestored(
                        ProtoMapping.job(job.getSpec(), submittedAtMs), assigned, ended, attempts, restarts));
        if (isUnfinished) {
            int waiting = job.getTasksCount() - assigned.size() - ended.size();
            submissions.ifPresent(control -> control.restored(job.getSpec(), assigned, waiting, submittedAtMs));
        } else {
            scheduler.apply(nowMs, new Event.JobCancelled(id));
        }
    }

    private void processHeartbeat(HeartbeatProto heartbeat, long nowMs) {
        String worker = heartbeat.getWorker();
        boolean holdsAttemptsOfOtherBoot = machine.assignedTo(worker).values().stream()
                .anyMatch(task -> !task.getWorkerBoot().equals(heartbeat.getBootId()));
        WorkerRegistry.HeartbeatKind kind = workers.recordHeartbeat(
                ProtoMapping.worker(heartbeat), heartbeat.getBootId(), holdsAttemptsOfOtherBoot, nowMs);
        if (kind == WorkerRegistry.HeartbeatKind.STALE) {
            return;
        }
        if (kind == WorkerRegistry.HeartbeatKind.UNPROVEN) {
            Log.event("successionUnproven")
                    .with("worker", worker)
                    .with("bootId", heartbeat.getBootId())
                    .info();
            return;
        }
        if (kind == WorkerRegistry.HeartbeatKind.RESTARTED) {
            Log.event("workerAnnounced")
                    .with("worker", worker)
                    .with("bootId", heartbeat.getBootId())
                    .info();
            scheduler.apply(nowMs, new Event.WorkerAnnounced(ProtoMapping.worker(heartbeat)));
        } else if (kind == WorkerRegistry.HeartbeatKind.UPDATED) {
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
            trackDecision(decision, nowMs);
            if (isReplicated(decision.action())) {
                String bootId = workers.bootId(decision.worker()).orElse("");
                batch.addDecisions(ProtoMapping.decision(decision, bootId));
            }
        }
        if (batch.getDecisionsCount() > 0) {
            proposer.propose(CommandProto.newBuilder().setDecisions(batch));
        }
    }

    private void trackDecision(Decision decision, long nowMs) {
        metrics.count("lovagegrade_decisions_" + decision.action().text(), decision.reason());
        submissions.ifPresent(control -> control.decided(decision, nowMs));
        switch (decision.action()) {
            case PLACE -> {
                leases.granted(decision.toAttempt(), nowMs, decision.leaseMs());
                responder.attemptPlaced(decision.toAttempt());
            }
            case CHECKPOINT -> responder.requestCheckpoint(decision.toAttempt());
            case END, LEASE_EXPIRED -> attemptFinished(decision.toAttempt());
            case FAIL -> {
                if (decision.task() != Decision.WHOLE_JOB) {
                    attemptFinished(decision.toAttempt());
                }
            }
            default -> {}
        }
    }

    private void attemptFinished(Attempt attempt) {
        leases.released(attempt);
        responder.attemptFinished(attempt);
    }

    private static boolean isReplicated(Action action) {
        return action != Action.CHECKPOINT && action != Action.ACCEPT && action != Action.REFUSE;
    }

    /** Frees the capacity of a stale placement, which was never sent to its worker. */
    private void releasePlacement(DecisionProto decision, long nowMs) {
        if (decision.getAction() == DecisionActionProto.PLACE) {
            Attempt attempt =
                    new Attempt(decision.getJob(), decision.getTask(), decision.getAttempt(), decision.getWorker());
            scheduler.apply(nowMs, new Event.AttemptStopped(attempt));
        }
    }
}
