package org.lovagegrade.state.scheduling;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.lease.LeaseTable;
import org.lovagegrade.state.machine.StateMachine;
import org.lovagegrade.state.machine.internal.JobStore.TaskKey;
import org.lovagegrade.wire.proto.AssignmentProto;
import org.lovagegrade.wire.proto.AttemptProto;
import org.lovagegrade.wire.proto.AttemptReportProto;
import org.lovagegrade.wire.proto.DecisionActionProto;
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.HeartbeatAnswerProto;
import org.lovagegrade.wire.proto.HeartbeatProto;
import org.lovagegrade.wire.proto.JobSpecProto;
import org.lovagegrade.wire.proto.TaskProto;

/**
 * Answers heartbeats with the attempts that the committed state assigns to the worker, and renews only their leases. To a
 * worker of an evacuated failure domain it sends only attempts that the worker reports, so that nothing starts there.
 */
final class HeartbeatResponder {
    private static final long HEARTBEAT_INTERVAL_MS = 1_000;

    /** Requested while a stop, a checkpoint or the end of an attempt awaits the next heartbeat. */
    private static final long SHORT_HEARTBEAT_INTERVAL_MS = 150;

    private final StateMachine machine;
    private final LeaseTable leases;
    private final Set<Attempt> checkpointRequests = new HashSet<>();
    /** Attempts placed by this leader that no answer has contained yet. */
    private final Set<Attempt> unsent = new HashSet<>();
    /** Attempts whose end this leader has proposed, while the committed state may still assign them. */
    private final Set<Attempt> endsProposed = new HashSet<>();

    HeartbeatResponder(StateMachine machine, LeaseTable leases) {
        this.machine = machine;
        this.leases = leases;
    }

    void requestCheckpoint(Attempt attempt) {
        checkpointRequests.add(attempt);
    }

    void attemptPlaced(Attempt attempt) {
        unsent.add(attempt);
    }

    void attemptFinished(Attempt attempt) {
        checkpointRequests.remove(attempt);
        unsent.remove(attempt);
        endsProposed.add(attempt);
    }

    /** Forgets a proposed end once its decision has been applied. */
    void decisionApplied(DecisionProto decision) {
        boolean isEnd = decision.getAction() == DecisionActionProto.END
                || decision.getAction() == DecisionActionProto.FAIL
                || decision.getAction() == DecisionActionProto.LEASE_EXPIRED;
        if (isEnd) {
            endsProposed.remove(
                    new Attempt(decision.getJob(), decision.getTask(), decision.getAttempt(), decision.getWorker()));
        }
    }

    /** The attempts placed by this leader on a worker that no answer has contained yet. */
    List<Attempt> unsentTo(String worker) {
        return unsent.stream()
                .filter(attempt -> attempt.worker().equals(worker))
                .sorted(Comparator.comparing(Attempt::job).thenComparing(Attempt::task))
                .toList();
    }

    HeartbeatAnswerProto answer(HeartbeatProto heartbeat, long nowMs) {
        String worker = heartbeat.getWorker();
        HeartbeatAnswerProto.Builder answer =
                HeartbeatAnswerProto.newBuilder().setWorker(worker).setNextHeartbeatMs(HEARTBEAT_INTERVAL_MS);
        Set<Attempt> assigned = new HashSet<>();
        Set<Attempt> finished = new HashSet<>();
        Set<Attempt> running = new HashSet<>();
        heartbeat
                .getAttemptsList()
                .forEach(report -> (AttemptReports.isFinished(report) ? finished : running)
                        .add(ProtoMapping.attempt(report.getAttempt(), worker)));
        boolean startsAllowed = !machine.isEvacuated(heartbeat.getFailureDomain());
        for (Map.Entry<TaskKey, TaskProto.Builder> entry :
                machine.assignedTo(worker).entrySet()) {
            TaskProto.Builder task = entry.getValue();
            if (!task.getWorkerBoot().equals(heartbeat.getBootId())) {
                continue;
            }
            Attempt attempt = new Attempt(entry.getKey().job(), task.getIndex(), task.getAttempt(), worker);
            assigned.add(attempt);
            boolean mayRun = startsAllowed || running.contains(attempt);
            if (mayRun && !finished.contains(attempt) && !endsProposed.contains(attempt)) {
                addAssignment(answer, attempt, task, nowMs);
            }
        }
        addUnassignedAttempts(answer, heartbeat, assigned);
        return answer.build();
    }

    private void addAssignment(
            HeartbeatAnswerProto.Builder answer, Attempt attempt, TaskProto.Builder task, long nowMs) {
        AttemptProto id = ProtoMapping.attempt(attempt);
        if (task.getStopping()) {
            answer.addStop(id).setNextHeartbeatMs(SHORT_HEARTBEAT_INTERVAL_MS);
        } else if (checkpointRequests.contains(attempt)) {
            answer.addCheckpoint(id).setNextHeartbeatMs(SHORT_HEARTBEAT_INTERVAL_MS);
        }
        unsent.remove(attempt);
        JobSpecProto spec = machine.spec(attempt.job());
        leases.granted(attempt, nowMs, task.getLeaseMs());
        answer.addHeld(AssignmentProto.newBuilder()
                .setAttempt(id)
                .setLeaseMs(task.getLeaseMs())
                .setResources(spec.getPerTask())
                .setPayload(spec.getPayload()));
    }

    /**
     * Handles reported attempts that are not assigned to the worker: finished ones are acknowledged, others must stop.
     */
    private static void addUnassignedAttempts(
            HeartbeatAnswerProto.Builder answer, HeartbeatProto heartbeat, Set<Attempt> assigned) {
        for (AttemptReportProto report : heartbeat.getAttemptsList()) {
            Attempt attempt = ProtoMapping.attempt(report.getAttempt(), heartbeat.getWorker());
            if (assigned.contains(attempt)) {
                if (AttemptReports.isFinished(report)) {
                    answer.setNextHeartbeatMs(SHORT_HEARTBEAT_INTERVAL_MS);
                }
                continue;
            }
            if (AttemptReports.isFinished(report)) {
                answer.addAcknowledged(report.getAttempt());
            } else {
                answer.addStop(report.getAttempt()).setNextHeartbeatMs(SHORT_HEARTBEAT_INTERVAL_MS);
            }
        }
    }
}
