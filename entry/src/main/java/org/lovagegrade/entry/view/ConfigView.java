package org.lovagegrade.entry.view;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.wire.proto.ConfigViewProto;
import org.lovagegrade.wire.proto.WorkClassProto;
import org.lovagegrade.wire.proto.WorkspaceKeyProto;
import org.lovagegrade.wire.proto.WorkspaceProto;

/** An immutable configuration at one revision, indexed for lookups. */
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
     * Creates a view of a configuration.
     *
     * @param config the configuration
     * @return the view
     */
    public static ConfigView of(ConfigViewProto config) {
        return new ConfigView(config);
    }

    /**
     * Returns the view to use until a configuration has been received.
     *
     * @return a view at revision 0, without workspaces, classes and keys
     */
    public static ConfigView empty() {
        return new ConfigView(ConfigViewProto.getDefaultInstance());
    }

    /**
     * Returns the revision of the configuration.
     *
     * @return the revision, which increases with every change
     */
    public long revision() {
        return config.getRevision();
    }

    /**
     * Returns the configuration.
     *
     * @return the whole configuration
     */
    public ConfigViewProto config() {
        return config;
    }

    /**
     * Finds a workspace.
     *
     * @param id the id of the workspace
     * @return the workspace, or empty if there is none with this id
     */
    public Optional<WorkspaceProto> workspace(String id) {
        return Optional.ofNullable(workspaces.get(id));
    }

    /**
     * Finds a work class.
     *
     * @param id the id of the class
     * @return the class, or empty if there is none with this id
     */
    public Optional<WorkClassProto> workClass(String id) {
        return Optional.ofNullable(classes.get(id));
    }

    /**
     * Finds a key.
     *
     * @param digest the SHA-256 digest of its secret in hexadecimal digits
     * @return the key, or empty if it is unknown or was withdrawn
     */
    public Optional<WorkspaceKeyProto> key(String digest) {
        return Optional.ofNullable(keysByDigest.get(digest));
    }
}
