package org.lovagegrade.state.scheduling;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.lease.LeaseTable;
import org.lovagegrade.state.machine.StateMachine;
import org.lovagegrade.state.machine.internal.JobStore.TaskKey;
import org.lovagegrade.wire.proto.AssignmentProto;
import org.lovagegrade.wire.proto.AttemptProto;
import org.lovagegrade.wire.proto.AttemptReportProto;
import org.lovagegrade.wire.proto.HeartbeatAnswerProto;
import org.lovagegrade.wire.proto.HeartbeatProto;
import org.lovagegrade.wire.proto.JobSpecProto;
import org.lovagegrade.wire.proto.TaskProto;

/** Tells a worker what it holds by the committed state, and renews the leases of just that. */
final class WorkerAnswers {
    private static final long NEXT_HEARTBEAT_MS = 1_000;
    private static final long NEXT_HEARTBEAT_SOON_MS = 150;

    private final StateMachine machine;
    private final LeaseTable leases;
    private final Set<Attempt> checkpointWanted = new HashSet<>();

    WorkerAnswers(StateMachine machine, LeaseTable leases) {
        this.machine = machine;
        this.leases = leases;
    }

    void checkpointWanted(Attempt attempt) {
        checkpointWanted.add(attempt);
    }

    void over(Attempt attempt) {
        checkpointWanted.remove(attempt);
    }

    HeartbeatAnswerProto answer(HeartbeatProto heartbeat, long nowMs) {
        String worker = heartbeat.getWorker();
        HeartbeatAnswerProto.Builder answer =
                HeartbeatAnswerProto.newBuilder().setWorker(worker).setNextHeartbeatMs(NEXT_HEARTBEAT_MS);
        Set<Attempt> held = new HashSet<>();
        Set<Attempt> over = new HashSet<>();
        heartbeat.getAttemptsList().stream()
                .filter(AttemptReports::isOver)
                .forEach(report -> over.add(ProtoMapping.attempt(report.getAttempt(), worker)));
        for (Map.Entry<TaskKey, TaskProto.Builder> entry :
                machine.assignedTo(worker).entrySet()) {
            TaskProto.Builder task = entry.getValue();
            if (!task.getWorkerBoot().equals(heartbeat.getBootId())) {
                continue;
            }
            Attempt attempt = new Attempt(entry.getKey().job(), task.getIndex(), task.getAttempt(), worker);
            held.add(attempt);
            if (!over.contains(attempt)) {
                tellHeld(answer, attempt, task, nowMs);
            }
        }
        tellRest(answer, heartbeat, held);
        return answer.build();
    }

    private void tellHeld(HeartbeatAnswerProto.Builder answer, Attempt attempt, TaskProto.Builder task, long nowMs) {
        AttemptProto id = ProtoMapping.attempt(attempt);
        if (task.getStopping()) {
            answer.addStop(id).setNextHeartbeatMs(NEXT_HEARTBEAT_SOON_MS);
        } else if (checkpointWanted.contains(attempt)) {
            answer.addCheckpoint(id).setNextHeartbeatMs(NEXT_HEARTBEAT_SOON_MS);
        }
        JobSpecProto spec = machine.spec(attempt.job());
        leases.granted(attempt, nowMs, task.getLeaseMs());
        answer.addHeld(AssignmentProto.newBuilder()
                .setAttempt(id)
                .setLeaseMs(task.getLeaseMs())
                .setResources(spec.getPerTask())
                .setPayload(spec.getPayload()));
    }

    /** What the worker reports and does not hold: reports are acknowledged, running attempts must stop. */
    private static void tellRest(HeartbeatAnswerProto.Builder answer, HeartbeatProto heartbeat, Set<Attempt> held) {
        for (AttemptReportProto report : heartbeat.getAttemptsList()) {
            Attempt attempt = ProtoMapping.attempt(report.getAttempt(), heartbeat.getWorker());
            if (held.contains(attempt)) {
                if (AttemptReports.isOver(report)) {
                    answer.setNextHeartbeatMs(NEXT_HEARTBEAT_SOON_MS);
                }
                continue;
            }
            if (AttemptReports.isOver(report)) {
                answer.addAcknowledged(report.getAttempt());
            } else {
                answer.addStop(report.getAttempt()).setNextHeartbeatMs(NEXT_HEARTBEAT_SOON_MS);
            }
        }
    }
}
