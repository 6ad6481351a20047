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
import org.lovagegrade.wire.proto.OutcomeProto;
import org.lovagegrade.wire.proto.TeamKeyProto;
import org.lovagegrade.wire.proto.TeamProto;
import org.lovagegrade.wire.proto.WorkClassProto;

/** Teams, classes and keys with their revisions; of two changes based on the same revision one wins. */
public final class ConfigStore {
    private static final double MAX_SHARE = 1.0;

    private final TreeMap<String, TeamProto> teams = new TreeMap<>();
    private final TreeMap<String, WorkClassProto> classes = new TreeMap<>();
    private final TreeMap<String, TeamKeyProto> keys = new TreeMap<>();
    private final Map<String, TeamKeyProto> keysByDigest = new HashMap<>();
    private final TreeMap<String, ChangeAuthorProto> authors = new TreeMap<>();
    private long revision;

    /**
     * The configuration's revision.
     *
     * @return a number that grows with each accepted change
     */
    public long revision() {
        return revision;
    }

    /**
     * Finds a team.
     *
     * @param id its id
     * @return the team, or null
     */
    public TeamProto team(String id) {
        return teams.get(id);
    }

    /**
     * Finds a class.
     *
     * @param id its id
     * @return the class, or null
     */
    public WorkClassProto workClass(String id) {
        return classes.get(id);
    }

    /**
     * Finds the team that a key belongs to.
     *
     * @param digest the SHA-256 of the key's secret, in hexadecimal digits
     * @return the team's id, or empty if the key is not known or was withdrawn
     */
    public Optional<String> teamOfKey(String digest) {
        return Optional.ofNullable(keysByDigest.get(digest)).map(TeamKeyProto::getTeam);
    }

    /**
     * All of the configuration.
     *
     * @return a view at the present revision
     */
    public ConfigViewProto view() {
        return ConfigViewProto.newBuilder()
                .setRevision(revision)
                .addAllTeams(teams.values())
                .addAllClasses(classes.values())
                .addAllKeys(keys.values())
                .build();
    }

    /**
     * Who changed what last.
     *
     * @return one record per object
     */
    public Iterable<ChangeAuthorProto> authors() {
        return authors.values();
    }

    /**
     * Takes over a snapshot.
     *
     * @param view the configuration
     * @param changedBy who changed what last
     */
    public void restore(ConfigViewProto view, Iterable<ChangeAuthorProto> changedBy) {
        view.getTeamsList().forEach(team -> teams.put(team.getId(), team));
        view.getClassesList().forEach(workClass -> classes.put(workClass.getId(), workClass));
        view.getKeysList().forEach(this::putKey);
        changedBy.forEach(author -> authors.put(author.getObject(), author));
        revision = view.getRevision();
    }

    /**
     * Carries out a change.
     *
     * @param request the change, with the revision that it was based on
     * @return the answer
     */
    public OutcomeProto apply(ConfigureProto request) {
        ConfigChangeProto change = request.getChange();
        String object = ConfigObject.nameOf(change);
        long present = presentRevision(change);
        if (request.getBaseRevision() != present) {
            return Outcomes.conflict(describeConflict(object, request.getBaseRevision(), present), present);
        }
        Optional<OutcomeProto> refusal = refusal(change);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        revision++;
        carryOut(change);
        authors.put(
                object,
                ChangeAuthorProto.newBuilder()
                        .setObject(object)
                        .setOperator(request.getOperator())
                        .setRevision(revision)
                        .build());
        return Outcomes.ok(revision);
    }

    private String describeConflict(String object, long base, long present) {
        ChangeAuthorProto author = authors.get(object);
        return "expected: " + object + " at revision " + base + "; actual: revision " + present
                + (author == null ? "" : ", changed by " + author.getOperator() + " to " + describe(object));
    }

    private String describe(String object) {
        int separator = object.indexOf('/');
        String id = object.substring(separator + 1);
        Object value = switch (object.substring(0, separator)) {
            case "team" -> teams.get(id);
            case "class" -> classes.get(id);
            default -> keys.containsKey(id) ? "a key of team " + keys.get(id).getTeam() : null;
        };
        return value == null
                ? "nothing (removed)"
                : value.toString().replaceAll("\\s+", " ").strip();
    }

    private long presentRevision(ConfigChangeProto change) {
        return switch (change.getChangeCase()) {
            case SET_TEAM -> revisionOf(teams.get(change.getSetTeam().getId()));
            case REMOVE_TEAM -> revisionOf(teams.get(change.getRemoveTeam()));
            case SET_CLASS -> revisionOf(classes.get(change.getSetClass().getId()));
            case REMOVE_CLASS -> revisionOf(classes.get(change.getRemoveClass()));
            case GIVE_KEY -> revisionOf(keys.get(change.getGiveKey().getId()));
            case WITHDRAW_KEY -> revisionOf(keys.get(change.getWithdrawKey()));
            default -> 0;
        };
    }

    private static long revisionOf(TeamProto team) {
        return team == null ? 0 : team.getRevision();
    }

    private static long revisionOf(WorkClassProto workClass) {
        return workClass == null ? 0 : workClass.getRevision();
    }

    private static long revisionOf(TeamKeyProto key) {
        return key == null ? 0 : key.getRevision();
    }

    private Optional<OutcomeProto> refusal(ConfigChangeProto change) {
        return switch (change.getChangeCase()) {
            case SET_TEAM -> teamRefusal(change.getSetTeam());
            case REMOVE_TEAM -> removalRefusal(change.getRemoveTeam());
            case SET_CLASS -> classRefusal(change.getSetClass());
            case REMOVE_CLASS ->
                classes.containsKey(change.getRemoveClass())
                        ? Optional.empty()
                        : refuse(RefusalReason.UNKNOWN_CLASS, change.getRemoveClass());
            case GIVE_KEY -> keyRefusal(change.getGiveKey());
            case WITHDRAW_KEY ->
                keys.containsKey(change.getWithdrawKey())
                        ? Optional.empty()
                        : refuse(RefusalReason.UNKNOWN_KEY_ID, change.getWithdrawKey());
            default -> refuse(RefusalReason.BAD_VALUE, "expected: one change; actual: none");
        };
    }

    private static Optional<OutcomeProto> teamRefusal(TeamProto team) {
        boolean hasBadShare = !(team.getShare() >= 0 && team.getShare() <= MAX_SHARE);
        boolean hasBadLimit = team.getLimitMilliCores() < 0
                || team.getLimitMemoryMb() < 0
                || team.getLimitAccelerators() < 0
                || team.getLimitCalls() < 0;
        if (team.getId().isEmpty() || hasBadShare || hasBadLimit) {
            return refuse(
                    RefusalReason.BAD_VALUE,
                    "expected: an id, a share from 0 to 1, limits not below 0; actual: " + team);
        }
        return Optional.empty();
    }

    private Optional<OutcomeProto> removalRefusal(String team) {
        if (!teams.containsKey(team)) {
            return refuse(RefusalReason.UNKNOWN_TEAM, team);
        }
        boolean hasKeys = keys.values().stream().anyMatch(key -> key.getTeam().equals(team));
        return hasKeys
                ? refuse(RefusalReason.STILL_IN_USE, "expected: a team without keys; actual: " + team + " has keys")
                : Optional.empty();
    }

    private Optional<OutcomeProto> classRefusal(WorkClassProto workClass) {
        boolean hasBadTarget = (workClass.hasWaitTargetMs() && workClass.getWaitTargetMs() <= 0)
                || (workClass.hasRecoveryTargetMs() && workClass.getRecoveryTargetMs() <= 0)
                || (workClass.hasShareTargetMs() && workClass.getShareTargetMs() <= 0);
        if (workClass.getId().isEmpty() || hasBadTarget) {
            return refuse(RefusalReason.BAD_VALUE, "expected: an id and targets above 0 ms; actual: " + workClass);
        }
        boolean hasUnknownTeam = !workClass.getOpenTeam().isEmpty() && !teams.containsKey(workClass.getOpenTeam());
        return hasUnknownTeam ? refuse(RefusalReason.UNKNOWN_TEAM, workClass.getOpenTeam()) : Optional.empty();
    }

    private Optional<OutcomeProto> keyRefusal(TeamKeyProto key) {
        if (!teams.containsKey(key.getTeam())) {
            return refuse(RefusalReason.UNKNOWN_TEAM, key.getTeam());
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

    private void carryOut(ConfigChangeProto change) {
        switch (change.getChangeCase()) {
            case SET_TEAM ->
                teams.put(
                        change.getSetTeam().getId(),
                        change.getSetTeam().toBuilder().setRevision(revision).build());
            case REMOVE_TEAM -> teams.remove(change.getRemoveTeam());
            case SET_CLASS ->
                classes.put(
                        change.getSetClass().getId(),
                        change.getSetClass().toBuilder().setRevision(revision).build());
            case REMOVE_CLASS -> classes.remove(change.getRemoveClass());
            case GIVE_KEY ->
                putKey(change.getGiveKey().toBuilder().setRevision(revision).build());
            case WITHDRAW_KEY -> dropKey(change.getWithdrawKey());
            default -> throw new IllegalStateException("expected: a checked change\n  actual: " + change);
        }
    }

    private void putKey(TeamKeyProto key) {
        dropKey(key.getId());
        keys.put(key.getId(), key);
        keysByDigest.put(key.getSecretSha256(), key);
    }

    private void dropKey(String id) {
        TeamKeyProto former = keys.remove(id);
        if (former != null) {
            keysByDigest.remove(former.getSecretSha256(), former);
        }
    }
}
