package org.lovagegrade.entry.view;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.wire.proto.ConfigViewProto;
import org.lovagegrade.wire.proto.WorkClassProto;
import org.lovagegrade.wire.proto.WorkspaceKeyProto;
import org.lovagegrade.wire.proto.WorkspaceProto;

/** The configuration at one revision, arranged for look-ups; immutable. */
public final class ConfigView {
    private final ConfigViewProto config;
    private final Map<String, WorkspaceProto> workspaces = new HashMap<>();
    private final Map<String, WorkClassProto> classes = new HashMap<>();
    private final Map<String, WorkspaceKeyProto> keysByDigest = new HashMap<>();

    private ConfigView(ConfigViewProto config) {
        this.config = config;
        config.getWorkspacesList().forEach(workspace -> workspaces.put(workspace.getId(), workspace));
        config.getClassesList().forEach(workClass -> classes.put(workClass.getId(), workClass));
        config.getKeysList().forEach(key -> keysByDigest.put(key.getSecretSha256(), key));
    }

    /**
     * Arranges a configuration.
     *
     * @param config the configuration
     * @return the view
     */
    public static ConfigView of(ConfigViewProto config) {
        return new ConfigView(config);
    }

    /**
     * A view before any configuration has come.
     *
     * @return a view at revision 0
     */
    public static ConfigView empty() {
        return new ConfigView(ConfigViewProto.getDefaultInstance());
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
     * Finds a workspace.
     *
     * @param id its id
     * @return the workspace, or empty
     */
    public Optional<WorkspaceProto> workspace(String id) {
        return Optional.ofNullable(workspaces.get(id));
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
    public Optional<WorkspaceKeyProto> key(String digest) {
        return Optional.ofNullable(keysByDigest.get(digest));
    }
}
