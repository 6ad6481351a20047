package org.lovagegrade.entry.view;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.wire.proto.ConfigViewProto;
import org.lovagegrade.wire.proto.TeamKeyProto;
import org.lovagegrade.wire.proto.TeamProto;
import org.lovagegrade.wire.proto.WorkClassProto;

/** The configuration at one revision, arranged for look-ups; immutable. */
public final class View {
    private final ConfigViewProto config;
    private final Map<String, TeamProto> teams = new HashMap<>();
    private final Map<String, WorkClassProto> classes = new HashMap<>();
    private final Map<String, TeamKeyProto> keysByDigest = new HashMap<>();

    private View(ConfigViewProto config) {
        this.config = config;
        config.getTeamsList().forEach(team -> teams.put(team.getId(), team));
        config.getClassesList().forEach(workClass -> classes.put(workClass.getId(), workClass));
        config.getKeysList().forEach(key -> keysByDigest.put(key.getSecretSha256(), key));
    }

    /**
     * Arranges a configuration.
     *
     * @param config the configuration
     * @return the view
     */
    public static View of(ConfigViewProto config) {
        return new View(config);
    }

    /**
     * A view before any configuration has come.
     *
     * @return a view at revision 0
     */
    public static View none() {
        return new View(ConfigViewProto.getDefaultInstance());
    }

    /**
     * The revision.
     *
     * @return a number that grows with each change
     */
    public long revision() {
        return config.getRevision();
    }

    /**
     * The configuration itself.
     *
     * @return all of it
     */
    public ConfigViewProto config() {
        return config;
    }

    /**
     * Finds a team.
     *
     * @param id its id
     * @return the team, or empty
     */
    public Optional<TeamProto> team(String id) {
        return Optional.ofNullable(teams.get(id));
    }

    /**
     * Finds a class.
     *
     * @param id its id
     * @return the class, or empty
     */
    public Optional<WorkClassProto> workClass(String id) {
        return Optional.ofNullable(classes.get(id));
    }

    /**
     * Finds a key.
     *
     * @param digest the SHA-256 of its secret, in hexadecimal digits
     * @return the key, or empty if it is not known or was withdrawn
     */
    public Optional<TeamKeyProto> key(String digest) {
        return Optional.ofNullable(keysByDigest.get(digest));
    }
}
