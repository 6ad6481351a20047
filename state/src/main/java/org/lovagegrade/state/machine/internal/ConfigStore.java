package org.lovagegrade.state.machine.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lovagegrade.state.machine.ConfigObject;
import org.lovagegrade.state.machine.Outcomes;
import org.lovagegrade.state.machine.RefusalReason;
import org.lovagegrade.wire.proto.ChangeAuthorProto;
import org.lovagegrade.wire.proto.ConfigChangeProto;
import org.lovagegrade.wire.proto.ConfigViewProto;
import org.lovagegrade.wire.proto.ConfigureProto;
import org.lovagegrade.wire.proto.EvacuationProto;
import org.lovagegrade.wire.proto.OutcomeProto;
import org.lovagegrade.wire.proto.WorkClassProto;
import org.lovagegrade.wire.proto.WorkspaceKeyProto;
import org.lovagegrade.wire.proto.WorkspaceProto;

/**
 * Workspaces, work classes, keys and evacuations of failure domains. Changes use optimistic concurrency: each is based on a revision of its object,
 * and of two changes based on the same revision only the first is applied.
 */
public final class ConfigStore {
    private static final double MAX_SHARE = 1.0;

    private final TreeMap<String, WorkspaceProto> workspaces = new TreeMap<>();
    private final TreeMap<String, WorkClassProto> classes = new TreeMap<>();
    private final TreeMap<String, WorkspaceKeyProto> keys = new TreeMap<>();
    private final Map<String, WorkspaceKeyProto> keysByDigest = new HashMap<>();
    /** The last order about each failure domain, also if the domain was returned to service. */
    private final TreeMap<String, EvacuationProto> evacuations = new TreeMap<>();

    private final TreeMap<String, ChangeAuthorProto> authors = new TreeMap<>();
    private long revision;

    /**
     * Returns the configuration's revision.
     *
     * @return a number that increases with each accepted change
     */
    public long revision() {
        return revision;
    }

    /**
     * Finds a workspace.
     *
     * @param id its id
     * @return the workspace, or null if there is none
     */
    public WorkspaceProto workspace(String id) {
        return workspaces.get(id);
    }

    /**
     * Finds a work class.
     *
     * @param id its id
     * @return the work class, or null if there is none
     */
    public WorkClassProto workClass(String id) {
        return classes.get(id);
    }

    /**
     * Finds the last order about a failure domain.
     *
     * @param failureDomain the failure domain
     * @return the order, or null if the domain was never evacuated
     */
    public EvacuationProto evacuation(String failureDomain) {
        return evacuations.get(failureDomain);
    }

    /**
     * Finds the workspace that a key belongs to.
     *
     * @param digest the SHA-256 of the key's secret, in hexadecimal digits
     * @return the workspace's id, or empty if the key does not exist or was withdrawn
     */
    public Optional<String> workspaceOfKey(String digest) {
        return Optional.ofNullable(keysByDigest.get(digest)).map(WorkspaceKeyProto::getWorkspace);
    }

    /**
     * Returns the whole configuration.
     *
     * @return the configuration at its current revision
     */
    public ConfigViewProto view() {
        return ConfigViewProto.newBuilder()
                .setRevision(revision)
                .addAllWorkspaces(workspaces.values())
                .addAllClasses(classes.values())
                .addAllKeys(keys.values())
                .addAllEvacuations(evacuations.values())
                .build();
    }

    /**
     * Returns the author of the last change of each object.
     *
     * @return one record per object
     */
    public Iterable<ChangeAuthorProto> authors() {
        return authors.values();
    }

    /**
     * Restores the configuration from a snapshot.
     *
     * @param view the configuration
     * @param lastAuthors the author of the last change of each object
     */
    public void restore(ConfigViewProto view, Iterable<ChangeAuthorProto> lastAuthors) {
        view.getWorkspacesList().forEach(workspace -> workspaces.put(workspace.getId(), workspace));
        view.getClassesList().forEach(workClass -> classes.put(workClass.getId(), workClass));
        view.getKeysList().forEach(this::putKey);
        view.getEvacuationsList().forEach(evacuation -> evacuations.put(evacuation.getFailureDomain(), evacuation));
        lastAuthors.forEach(author -> authors.put(author.getObject(), author));
        revision = view.getRevision();
    }

    /**
     * Applies a change, unless its object has changed since the revision it is based on.
     *
     * @param request the change, with the object's revision that it is based on
     * @return the outcome
     */
    public OutcomeProto apply(ConfigureProto request) {
        ConfigChangeProto change = request.getChange();
        String object = ConfigObject.nameOf(change);
        long current = currentRevision(change);
        if (request.getBaseRevision() != current) {
            return Outcomes.conflict(describeConflict(object, request.getBaseRevision(), current), current);
        }
        Optional<OutcomeProto> refusal = validate(change);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        revision++;
        applyChange(change);
        authors.put(
                object,
                ChangeAuthorProto.newBuilder()
                        .setObject(object)
                        .setOperator(request.getOperator())
                        .setRevision(revision)
                        .build());
        return Outcomes.ok(revision);
    }

    private String describeConflict(String object, long baseRevision, long current) {
        ChangeAuthorProto author = authors.get(object);
        return "expected: " + object + " at revision " + baseRevision + "; actual: revision " + current
                + (author == null ? "" : ", changed by " + author.getOperator() + " to " + describe(object));
    }

    private String describe(String object) {
        int separator = object.indexOf('/');
        String id = object.substring(separator + 1);
        Object value = switch (object.substring(0, separator)) {
            case "team" -> workspaces.get(id);
            case "class" -> classes.get(id);
            case "domain" -> evacuations.get(id);
            default -> keys.containsKey(id) ? "a key of team " + keys.get(id).getWorkspace() : null;
        };
        return value == null
                ? "nothing (removed)"
                : value.toString().replaceAll("\\s+", " ").strip();
    }

    private long currentRevision(ConfigChangeProto change) {
        return switch (change.getChangeCase()) {
            case SET_WORKSPACE ->
                revisionOf(workspaces.get(change.getSetWorkspace().getId()));
            case REMOVE_WORKSPACE -> revisionOf(workspaces.get(change.getRemoveWorkspace()));
            case SET_CLASS -> revisionOf(classes.get(change.getSetClass().getId()));
            case REMOVE_CLASS -> revisionOf(classes.get(change.getRemoveClass()));
            case GIVE_KEY -> revisionOf(keys.get(change.getGiveKey().getId()));
            case WITHDRAW_KEY -> revisionOf(keys.get(change.getWithdrawKey()));
            case SET_EVACUATION ->
                revisionOf(evacuations.get(change.getSetEvacuation().getFailureDomain()));
            default -> 0;
        };
    }

    private static long revisionOf(WorkspaceProto workspace) {
        return workspace == null ? 0 : workspace.getRevision();
    }

    private static long revisionOf(WorkClassProto workClass) {
        return workClass == null ? 0 : workClass.getRevision();
    }

    private static long revisionOf(WorkspaceKeyProto key) {
        return key == null ? 0 : key.getRevision();
    }

    private static long revisionOf(EvacuationProto evacuation) {
        return evacuation == null ? 0 : evacuation.getRevision();
    }

    private Optional<OutcomeProto> validate(ConfigChangeProto change) {
        return switch (change.getChangeCase()) {
            case SET_WORKSPACE -> validateWorkspace(change.getSetWorkspace());
            case REMOVE_WORKSPACE -> validateWorkspaceRemoval(change.getRemoveWorkspace());
            case SET_CLASS -> validateClass(change.getSetClass());
            case REMOVE_CLASS ->
                classes.containsKey(change.getRemoveClass())
                        ? Optional.empty()
                        : refuse(RefusalReason.UNKNOWN_CLASS, change.getRemoveClass());
            case GIVE_KEY -> validateKey(change.getGiveKey());
            case WITHDRAW_KEY ->
                keys.containsKey(change.getWithdrawKey())
                        ? Optional.empty()
                        : refuse(RefusalReason.UNKNOWN_KEY_ID, change.getWithdrawKey());
            case SET_EVACUATION ->
                change.getSetEvacuation().getFailureDomain().isEmpty()
                        ? refuse(RefusalReason.BAD_VALUE, "expected: a failure domain; actual: none")
                        : Optional.empty();
            default -> refuse(RefusalReason.BAD_VALUE, "expected: one change; actual: none");
        };
    }

    private static Optional<OutcomeProto> validateWorkspace(WorkspaceProto workspace) {
        boolean hasBadShare = !(workspace.getShare() >= 0 && workspace.getShare() <= MAX_SHARE);
        boolean hasBadLimit = workspace.getLimitMilliCores() < 0
                || workspace.getLimitMemoryMb() < 0
                || workspace.getLimitAccelerators() < 0
                || workspace.getLimitCalls() < 0;
        if (workspace.getId().isEmpty() || hasBadShare || hasBadLimit) {
            return refuse(
                    RefusalReason.BAD_VALUE,
                    "expected: an id, a share from 0 to 1, limits not below 0; actual: " + workspace);
        }
        return Optional.empty();
    }

    private Optional<OutcomeProto> validateWorkspaceRemoval(String workspace) {
        if (!workspaces.containsKey(workspace)) {
            return refuse(RefusalReason.UNKNOWN_WORKSPACE, workspace);
        }
        boolean hasKeys =
                keys.values().stream().anyMatch(key -> key.getWorkspace().equals(workspace));
        return hasKeys
                ? refuse(
                        RefusalReason.STILL_IN_USE, "expected: a team without keys; actual: " + workspace + " has keys")
                : Optional.empty();
    }

    private Optional<OutcomeProto> validateClass(WorkClassProto workClass) {
        boolean hasBadTarget = (workClass.hasWaitTargetMs() && workClass.getWaitTargetMs() <= 0)
                || (workClass.hasRecoveryTargetMs() && workClass.getRecoveryTargetMs() <= 0)
                || (workClass.hasShareTargetMs() && workClass.getShareTargetMs() <= 0);
        if (workClass.getId().isEmpty() || hasBadTarget) {
            return refuse(RefusalReason.BAD_VALUE, "expected: an id and targets above 0 ms; actual: " + workClass);
        }
        boolean hasUnknownWorkspace =
                !workClass.getOpenWorkspace().isEmpty() && !workspaces.containsKey(workClass.getOpenWorkspace());
        return hasUnknownWorkspace
                ? refuse(RefusalReason.UNKNOWN_WORKSPACE, workClass.getOpenWorkspace())
                : Optional.empty();
    }

    private Optional<OutcomeProto> validateKey(WorkspaceKeyProto key) {
        if (!workspaces.containsKey(key.getWorkspace())) {
            return refuse(RefusalReason.UNKNOWN_WORKSPACE, key.getWorkspace());
        }
        if (key.getId().isEmpty() || key.getSecretSha256().isEmpty()) {
            return refuse(
                    RefusalReason.BAD_VALUE, "expected: an id and a digest; actual: key id '" + key.getId() + "'");
        }
        return Optional.empty();
    }

    private static Optional<OutcomeProto> refuse(RefusalReason reason, String detail) {
        return Optional.of(Outcomes.refused(reason, detail));
    }

    private void applyChange(ConfigChangeProto change) {
        switch (change.getChangeCase()) {
            case SET_WORKSPACE ->
                workspaces.put(
                        change.getSetWorkspace().getId(),
                        change.getSetWorkspace().toBuilder()
                                .setRevision(revision)
                                .build());
            case REMOVE_WORKSPACE -> workspaces.remove(change.getRemoveWorkspace());
            case SET_CLASS ->
                classes.put(
                        change.getSetClass().getId(),
                        change.getSetClass().toBuilder().setRevision(revision).build());
            case REMOVE_CLASS -> classes.remove(change.getRemoveClass());
            case GIVE_KEY ->
                putKey(change.getGiveKey().toBuilder().setRevision(revision).build());
            case WITHDRAW_KEY -> removeKey(change.getWithdrawKey());
            case SET_EVACUATION ->
                evacuations.put(
                        change.getSetEvacuation().getFailureDomain(),
                        change.getSetEvacuation().toBuilder()
                                .setRevision(revision)
                                .build());
            default -> throw new IllegalStateException("expected: a validated change\n  actual: " + change);
        }
    }

    private void putKey(WorkspaceKeyProto key) {
        removeKey(key.getId());
        keys.put(key.getId(), key);
        keysByDigest.put(key.getSecretSha256(), key);
    }

    private void removeKey(String id) {
        WorkspaceKeyProto previous = keys.remove(id);
        if (previous != null) {
            keysByDigest.remove(previous.getSecretSha256(), previous);
        }
    }
}
