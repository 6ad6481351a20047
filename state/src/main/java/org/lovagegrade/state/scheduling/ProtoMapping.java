package org.lovagegrade.state.scheduling;

import java.util.OptionalLong;
import org.lovagegrade.core.Action;
import org.lovagegrade.core.Attempt;
import org.lovagegrade.core.ClassKind;
import org.lovagegrade.core.Decision;
import org.lovagegrade.core.Job;
import org.lovagegrade.core.Limits;
import org.lovagegrade.core.Resources;
import org.lovagegrade.core.WorkClass;
import org.lovagegrade.core.Worker;
import org.lovagegrade.core.Workspace;
import org.lovagegrade.wire.proto.AttemptProto;
import org.lovagegrade.wire.proto.DecisionActionProto;
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.HeartbeatProto;
import org.lovagegrade.wire.proto.JobSpecProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.WorkClassProto;
import org.lovagegrade.wire.proto.WorkspaceProto;

/** Converts between protobuf messages and the types of the scheduling core. */
final class ProtoMapping {
    private ProtoMapping() {}

    static Resources resources(ResourcesProto proto) {
        return Resources.of(proto.getMilliCores(), proto.getMemoryMb(), proto.getAccelerators());
    }

    static ResourcesProto resources(Resources resources) {
        return ResourcesProto.newBuilder()
                .setMilliCores(resources.milliCores())
                .setMemoryMb(resources.memoryMb())
                .setAccelerators(resources.accelerators())
                .build();
    }

    static Workspace workspace(WorkspaceProto proto) {
        Limits limits = Limits.of(
                optional(proto.hasLimitMilliCores(), proto.getLimitMilliCores()),
                optional(proto.hasLimitMemoryMb(), proto.getLimitMemoryMb()),
                optional(proto.hasLimitAccelerators(), proto.getLimitAccelerators()));
        return new Workspace(proto.getId(), proto.getShare(), limits);
    }

    static WorkClass workClass(WorkClassProto proto) {
        ClassKind kind = switch (proto.getKind()) {
            case SERVICE -> ClassKind.SERVICE;
            case GANG -> ClassKind.GANG;
            default -> ClassKind.BATCH;
        };
        return new WorkClass(
                proto.getId(),
                kind,
                optional(proto.hasWaitTargetMs(), proto.getWaitTargetMs()),
                optional(proto.hasRecoveryTargetMs(), proto.getRecoveryTargetMs()),
                optional(proto.hasShareTargetMs(), proto.getShareTargetMs()));
    }

    static Worker worker(HeartbeatProto heartbeat) {
        return new Worker(
                heartbeat.getWorker(),
                heartbeat.getFailureDomain(),
                heartbeat.getRack(),
                resources(heartbeat.getCapacity()));
    }

    static Job job(JobSpecProto spec, long submittedAtMs) {
        return new Job(
                spec.getId(),
                spec.getWorkspace(),
                spec.getWorkClass(),
                spec.getTasks(),
                resources(spec.getPerTask()),
                spec.getDeclaredRunMs(),
                submittedAtMs);
    }

    static Attempt attempt(AttemptProto proto, String worker) {
        return new Attempt(proto.getJob(), proto.getTask(), proto.getAttempt(), worker);
    }

    static AttemptProto attempt(Attempt attempt) {
        return AttemptProto.newBuilder()
                .setJob(attempt.job())
                .setTask(attempt.task())
                .setAttempt(attempt.number())
                .build();
    }

    static DecisionProto decision(Decision decision, String workerBoot) {
        return DecisionProto.newBuilder()
                .setAction(action(decision.action()))
                .setJob(decision.job())
                .setTask(decision.task())
                .setAttempt(decision.attempt())
                .setWorker(decision.worker())
                .setWorkerBoot(workerBoot)
                .setReason(decision.reason().text())
                .setLeaseMs(decision.leaseMs())
                .build();
    }

    private static DecisionActionProto action(Action action) {
        return switch (action) {
            case ACCEPT -> DecisionActionProto.ACCEPT;
            case REFUSE -> DecisionActionProto.REFUSE;
            case PLACE -> DecisionActionProto.PLACE;
            case CHECKPOINT -> DecisionActionProto.CHECKPOINT;
            case STOP -> DecisionActionProto.STOP;
            case END -> DecisionActionProto.END;
            case FAIL -> DecisionActionProto.FAIL;
            case LEASE_EXPIRED -> DecisionActionProto.LEASE_EXPIRED;
            case SET_ASIDE -> DecisionActionProto.DECIDED_SET_ASIDE;
        };
    }

    private static OptionalLong optional(boolean isSet, long value) {
        return isSet ? OptionalLong.of(value) : OptionalLong.empty();
    }
}
