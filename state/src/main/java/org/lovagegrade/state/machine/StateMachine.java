package org.lovagegrade.state.machine;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lovagegrade.state.machine.internal.ConfigStore;
import org.lovagegrade.state.machine.internal.JobStore;
import org.lovagegrade.state.machine.internal.JobStore.TaskKey;
import org.lovagegrade.state.machine.internal.OutcomeMemory;
import org.lovagegrade.wire.proto.CancelProto;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.ConfigChangeProto;
import org.lovagegrade.wire.proto.ConfigViewProto;
import org.lovagegrade.wire.proto.ConfigureProto;
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.EntryMemberProto;
import org.lovagegrade.wire.proto.JobProto;
import org.lovagegrade.wire.proto.JobSpecProto;
import org.lovagegrade.wire.proto.MachineSnapshotProto;
import org.lovagegrade.wire.proto.OutcomeProto;
import org.lovagegrade.wire.proto.OutcomeStatusProto;
import org.lovagegrade.wire.proto.ResourcesProto;
import org.lovagegrade.wire.proto.SubmitProto;
import org.lovagegrade.wire.proto.TaskProto;
import org.lovagegrade.wire.proto.WorkClassProto;

/**
 * The replicated truth: workspaces, keys, classes, jobs, attempts and the answers given. The same commands in the same order
 * give the same state and answers on every replica.
 *
 * <p>Example: {@code Applied applied = machine.apply(command);}
 */
public final class StateMachine {
    private static final int MAX_TASKS = 10_000;

    private final ConfigStore config = new ConfigStore();
    private final JobStore jobs = new JobStore();
    private final OutcomeMemory outcomes = new OutcomeMemory();
    private final TreeMap<String, EntryMemberProto> entries = new TreeMap<>();
    private long clockMs;

    private StateMachine() {}

    /**
     * Creates the state of a new fleet.
     *
     * @return an empty state machine
     */
    public static StateMachine empty() {
        return new StateMachine();
    }

    /**
     * Takes over a snapshot.
     *
     * @param data what {@link #snapshot()} gave
     * @return the state machine
     */
    public static StateMachine fromSnapshot(ByteString data) {
        try {
            MachineSnapshotProto snapshot = MachineSnapshotProto.parseFrom(data);
            StateMachine machine = new StateMachine();
            machine.config.restore(snapshot.getConfig(), snapshot.getAuthorsList());
            snapshot.getJobsList().forEach(machine.jobs::restore);
            machine.outcomes.restore(snapshot.getOutcomesList());
            snapshot.getEntriesList().forEach(entry -> machine.entries.put(entry.getId(), entry));
            machine.clockMs = snapshot.getClockMs();
            return machine;
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("expected: a snapshot of the state machine", e);
        }
    }

    /**
     * Writes all of the state.
     *
     * @return the snapshot
     */
    public ByteString snapshot() {
        MachineSnapshotProto.Builder snapshot = MachineSnapshotProto.newBuilder()
                .setConfig(config.view())
                .addAllAuthors(config.authors())
                .addAllOutcomes(outcomes.all())
                .addAllEntries(entries.values())
                .setClockMs(clockMs);
        jobs.all().forEach(job -> snapshot.addJobs(job.build()));
        return snapshot.build().toByteString();
    }

    /**
     * Carries out a command; a resend gets the first answer and changes nothing.
     *
     * @param command the command
     * @return what came of it
     */
    public Applied apply(CommandProto command) {
        clockMs = Math.max(clockMs, command.getAtMs());
        if (command.getRequestId().isEmpty()) {
            return carryOut(command);
        }
        Optional<OutcomeProto> first = outcomes.find(command.getRequestId());
        if (first.isPresent()) {
            return new Applied(command, first.get(), true, List.of());
        }
        Applied applied = carryOut(command);
        outcomes.remember(command.getRequestId(), clockMs, applied.outcome());
        return applied;
    }

    /**
     * The configuration's revision.
     *
     * @return a number that grows with each accepted change
     */
    public long revision() {
        return config.revision();
    }

    /**
     * All of the configuration.
     *
     * @return a view at the present revision
     */
    public ConfigViewProto configView() {
        return config.view();
    }

    /**
     * Finds a job.
     *
     * @param id its id
     * @return the job, or empty if it is not known or long over
     */
    public Optional<JobProto> job(String id) {
        return jobs.find(id);
    }

    /**
     * What was submitted as a job.
     *
     * @param id a job that exists
     * @return its specification
     */
    public JobSpecProto spec(String id) {
        return jobs.spec(id);
    }

    /**
     * All jobs that are known.
     *
     * @return in the order of their submission
     */
    public Collection<JobProto.Builder> jobs() {
        return jobs.all();
    }

    /**
     * The attempts that a worker holds.
     *
     * @param worker the worker's id
     * @return the tasks by their keys
     */
    public Map<TaskKey, TaskProto.Builder> heldBy(String worker) {
        return jobs.heldBy(worker);
    }

    /**
     * The entries that may hold grants.
     *
     * @return by id
     */
    public Map<String, EntryMemberProto> entries() {
        return Map.copyOf(entries);
    }

    /**
     * Finds the workspace that a key belongs to.
     *
     * @param digest the SHA-256 of the key's secret, in hexadecimal digits
     * @return the workspace's id, or empty
     */
    public Optional<String> workspaceOfKey(String digest) {
        return config.workspaceOfKey(digest);
    }

    private Applied carryOut(CommandProto command) {
        return switch (command.getBodyCase()) {
            case CONFIGURE -> done(command, configure(command.getConfigure()));
            case SUBMIT -> done(command, submit(command.getSubmit()));
            case CANCEL -> done(command, cancel(command.getCancel()));
            case DECISIONS -> decide(command);
            case ENTRY_JOINED -> {
                entries.put(command.getEntryJoined().getId(), command.getEntryJoined());
                yield done(command, Outcomes.ok(revision()));
            }
            case ENTRY_LEFT -> {
                entries.remove(command.getEntryLeft());
                yield done(command, Outcomes.ok(revision()));
            }
            default -> done(command, Outcomes.refused(RefusalReason.BAD_VALUE, "expected: a command; actual: none"));
        };
    }

    private static Applied done(CommandProto command, OutcomeProto outcome) {
        return new Applied(command, outcome, false, List.of());
    }

    private OutcomeProto configure(ConfigureProto request) {
        ConfigChangeProto change = request.getChange();
        boolean isInUse = (change.hasRemoveWorkspace()
                        && jobs.hasLiveJob(spec -> spec.getWorkspace().equals(change.getRemoveWorkspace())))
                || (change.hasRemoveClass()
                        && jobs.hasLiveJob(spec -> spec.getWorkClass().equals(change.getRemoveClass())));
        return isInUse
                ? Outcomes.refused(RefusalReason.STILL_IN_USE, "expected: no jobs that are not over; actual: some")
                : config.apply(request);
    }

    private OutcomeProto submit(SubmitProto submit) {
        JobSpecProto spec = submit.getSpec();
        WorkClassProto workClass = config.workClass(spec.getWorkClass());
        if (workClass == null) {
            return Outcomes.refused(RefusalReason.UNKNOWN_CLASS, spec.getWorkClass());
        }
        Optional<OutcomeProto> keyRefusal = keyRefusal(submit, workClass);
        if (keyRefusal.isPresent()) {
            return keyRefusal.get();
        }
        if (config.workspace(spec.getWorkspace()) == null) {
            return Outcomes.refused(RefusalReason.UNKNOWN_WORKSPACE, spec.getWorkspace());
        }
        ResourcesProto size = spec.getPerTask();
        boolean isNegative = size.getMilliCores() < 0 || size.getMemoryMb() < 0 || size.getAccelerators() < 0;
        boolean isNothing = size.getMilliCores() + size.getMemoryMb() + size.getAccelerators() == 0;
        if (spec.getTasks() < 1 || spec.getTasks() > MAX_TASKS || isNegative || isNothing) {
            return Outcomes.refused(
                    RefusalReason.BAD_VALUE,
                    "expected: 1 to " + MAX_TASKS + " tasks of a size above 0; actual: " + spec.getTasks()
                            + " tasks of " + size.toString().replaceAll("\\s+", " "));
        }
        if (jobs.find(spec.getId()).isPresent()) {
            return Outcomes.refused(RefusalReason.DUPLICATE_JOB, spec.getId());
        }
        jobs.add(spec);
        return Outcomes.okJob(spec.getId());
    }

    private Optional<OutcomeProto> keyRefusal(SubmitProto submit, WorkClassProto workClass) {
        String workspace = submit.getSpec().getWorkspace();
        if (submit.getKeySha256().isEmpty() && !workClass.getOpenWorkspace().isEmpty()) {
            return workClass.getOpenWorkspace().equals(workspace)
                    ? Optional.empty()
                    : Optional.of(Outcomes.refused(RefusalReason.KEY_OF_OTHER_WORKSPACE, workspace));
        }
        Optional<String> owner = config.workspaceOfKey(submit.getKeySha256());
        if (owner.isEmpty()) {
            return Optional.of(Outcomes.refused(RefusalReason.WRONG_KEY, "expected: a key in force"));
        }
        return owner.get().equals(workspace)
                ? Optional.empty()
                : Optional.of(Outcomes.refused(
                        RefusalReason.KEY_OF_OTHER_WORKSPACE,
                        "expected: team " + owner.get() + "; actual: " + workspace));
    }

    private OutcomeProto cancel(CancelProto cancel) {
        Optional<JobProto> job = jobs.find(cancel.getJob());
        if (job.isEmpty()) {
            return Outcomes.refused(RefusalReason.UNKNOWN_JOB, cancel.getJob());
        }
        Optional<String> owner = config.workspaceOfKey(cancel.getKeySha256());
        boolean mayCancel = !cancel.getOperator().isEmpty()
                || owner.equals(Optional.of(job.get().getSpec().getWorkspace()));
        if (!mayCancel) {
            return Outcomes.refused(
                    owner.isEmpty() ? RefusalReason.WRONG_KEY : RefusalReason.KEY_OF_OTHER_WORKSPACE,
                    "expected: a key of the job's team");
        }
        return jobs.cancel(cancel.getJob())
                ? Outcomes.okJob(cancel.getJob())
                : Outcomes.refused(RefusalReason.JOB_IS_OVER, cancel.getJob());
    }

    private Applied decide(CommandProto command) {
        List<DecisionProto> late = new ArrayList<>();
        for (DecisionProto decision : command.getDecisions().getDecisionsList()) {
            if (!jobs.apply(decision, command.getAtMs())) {
                late.add(decision);
            }
        }
        OutcomeProto ok =
                OutcomeProto.newBuilder().setStatus(OutcomeStatusProto.OK).build();
        return new Applied(command, ok, false, List.copyOf(late));
    }
}
