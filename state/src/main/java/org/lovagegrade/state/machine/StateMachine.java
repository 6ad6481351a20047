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
import org.lovagegrade.state.machine.internal.OutcomeHistory;
import org.lovagegrade.wire.proto.CancelProto;
import org.lovagegrade.wire.proto.CommandProto;
import org.lovagegrade.wire.proto.ConfigChangeProto;
import org.lovagegrade.wire.proto.ConfigViewProto;
import org.lovagegrade.wire.proto.ConfigureProto;
import org.lovagegrade.wire.proto.DecisionProto;
import org.lovagegrade.wire.proto.EntryMemberProto;
import org.lovagegrade.wire.proto.EvacuationProto;
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
 * The replicated state: workspaces, keys, classes, jobs, attempts, entries and the outcomes of recent requests. It is
 * deterministic: the same commands in the same order give the same state and outcomes on every replica.
 *
 * <p>Example: {@code ApplyResult result = machine.apply(command);}
 */
public final class StateMachine {
    private static final int MAX_TASKS_PER_JOB = 10_000;

    private final ConfigStore config = new ConfigStore();
    private final JobStore jobs = new JobStore();
    private final OutcomeHistory outcomes = new OutcomeHistory();
    private final TreeMap<String, EntryMemberProto> entries = new TreeMap<>();
    private long clockMs;

    private StateMachine() {}

    /**
     * Creates the state machine of a new fleet.
     *
     * @return an empty state machine
     */
    public static StateMachine empty() {
        return new StateMachine();
    }

    /**
     * Creates a state machine from a snapshot.
     *
     * @param data the result of {@link #snapshot()}
     * @return the state machine
     * @throws IllegalArgumentException if the data is not a snapshot
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
     * Serializes the whole state.
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
     * Applies a command. A command whose request id was applied before changes nothing and gets the first outcome
     * again.
     *
     * @param command the command
     * @return the result
     */
    public ApplyResult apply(CommandProto command) {
        clockMs = Math.max(clockMs, command.getAtMs());
        if (command.getRequestId().isEmpty()) {
            return execute(command);
        }
        Optional<OutcomeProto> firstOutcome = outcomes.find(command.getRequestId());
        if (firstOutcome.isPresent()) {
            return new ApplyResult(command, firstOutcome.get(), true, List.of());
        }
        ApplyResult result = execute(command);
        outcomes.add(command.getRequestId(), clockMs, result.outcome());
        return result;
    }

    /**
     * Returns the configuration's revision.
     *
     * @return a number that increases with each accepted change
     */
    public long revision() {
        return config.revision();
    }

    /**
     * Returns the whole configuration.
     *
     * @return the configuration at its current revision
     */
    public ConfigViewProto configView() {
        return config.view();
    }

    /**
     * Finds a job.
     *
     * @param id its id
     * @return the job, or empty if it never existed or was removed some time after it finished
     */
    public Optional<JobProto> job(String id) {
        return jobs.find(id);
    }

    /**
     * Returns the specification of a job.
     *
     * @param id the id of an existing job
     * @return its specification, as submitted
     */
    public JobSpecProto spec(String id) {
        return jobs.spec(id);
    }

    /**
     * Returns all jobs, finished ones included until they are removed.
     *
     * @return the jobs in the order of their submission
     */
    public Collection<JobProto.Builder> jobs() {
        return jobs.all();
    }

    /**
     * Returns the tasks whose current attempt is assigned to a worker.
     *
     * @param worker the worker's id
     * @return the tasks by key
     */
    public Map<TaskKey, TaskProto.Builder> assignedTo(String worker) {
        return jobs.assignedTo(worker);
    }

    /**
     * Returns the entries that may hold grants.
     *
     * @return the entries by id
     */
    public Map<String, EntryMemberProto> entries() {
        return Map.copyOf(entries);
    }

    /**
     * Finds a work class.
     *
     * @param id its id
     * @return the work class, or null if there is none
     */
    public WorkClassProto workClass(String id) {
        return config.workClass(id);
    }

    /**
     * Whether a request has an outcome that a resend would get again.
     *
     * @param requestId the request id
     * @return true if a command with this id was applied, and its outcome is remembered
     */
    public boolean isAnswered(String requestId) {
        return outcomes.find(requestId).isPresent();
    }

    /**
     * Whether a failure domain is evacuated.
     *
     * @param failureDomain the failure domain
     * @return true from the application of its evacuation until that of its return to service
     */
    public boolean isEvacuated(String failureDomain) {
        EvacuationProto evacuation = config.evacuation(failureDomain);
        return evacuation != null && evacuation.getActive();
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

    private ApplyResult execute(CommandProto command) {
        return switch (command.getBodyCase()) {
            case CONFIGURE -> result(command, configure(command.getConfigure()));
            case SUBMIT -> result(command, submit(command.getSubmit()));
            case CANCEL -> result(command, cancel(command.getCancel()));
            case DECISIONS -> applyDecisions(command);
            case ENTRY_JOINED -> {
                entries.put(command.getEntryJoined().getId(), command.getEntryJoined());
                yield result(command, Outcomes.ok(revision()));
            }
            case ENTRY_LEFT -> {
                entries.remove(command.getEntryLeft());
                yield result(command, Outcomes.ok(revision()));
            }
            default -> result(command, Outcomes.refused(RefusalReason.BAD_VALUE, "expected: a command; actual: none"));
        };
    }

    private static ApplyResult result(CommandProto command, OutcomeProto outcome) {
        return new ApplyResult(command, outcome, false, List.of());
    }

    private OutcomeProto configure(ConfigureProto request) {
        ConfigChangeProto change = request.getChange();
        boolean isInUse = (change.hasRemoveWorkspace()
                        && jobs.hasActiveJob(spec -> spec.getWorkspace().equals(change.getRemoveWorkspace())))
                || (change.hasRemoveClass()
                        && jobs.hasActiveJob(spec -> spec.getWorkClass().equals(change.getRemoveClass())));
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
        boolean isEmpty = size.getMilliCores() + size.getMemoryMb() + size.getAccelerators() == 0;
        if (spec.getTasks() < 1 || spec.getTasks() > MAX_TASKS_PER_JOB || isNegative || isEmpty) {
            return Outcomes.refused(
                    RefusalReason.BAD_VALUE,
                    "expected: 1 to " + MAX_TASKS_PER_JOB + " tasks of a size above 0; actual: " + spec.getTasks()
                            + " tasks of " + size.toString().replaceAll("\\s+", " "));
        }
        if (jobs.find(spec.getId()).isPresent()) {
            return Outcomes.refused(RefusalReason.DUPLICATE_JOB, spec.getId());
        }
        jobs.add(spec);
        return Outcomes.okForJob(spec.getId());
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
                ? Outcomes.okForJob(cancel.getJob())
                : Outcomes.refused(RefusalReason.JOB_IS_OVER, cancel.getJob());
    }

    private ApplyResult applyDecisions(CommandProto command) {
        Optional<OutcomeProto> refusal = LeaderRefusals.outcomeOf(command);
        if (refusal.isPresent()) {
            return result(command, refusal.get());
        }
        List<DecisionProto> staleDecisions = new ArrayList<>();
        for (DecisionProto decision : command.getDecisions().getDecisionsList()) {
            if (!jobs.apply(decision, command.getAtMs())) {
                staleDecisions.add(decision);
            }
        }
        OutcomeProto ok =
                OutcomeProto.newBuilder().setStatus(OutcomeStatusProto.OK).build();
        return new ApplyResult(command, ok, false, List.copyOf(staleDecisions));
    }
}
