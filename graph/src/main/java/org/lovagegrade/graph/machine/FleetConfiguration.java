package org.lovagegrade.graph.machine;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.wire.proto.FleetDocumentProto;
import org.lovagegrade.wire.proto.GraphWorkspaceProto;
import org.lovagegrade.wire.proto.QueueProto;

/** One version of the fleet's configuration, with lookups by key, name and path. */
public final class FleetConfiguration {
    private final FleetDocumentProto proto;
    private final Map<String, GraphWorkspaceProto> byKey = new HashMap<>();
    private final Map<String, GraphWorkspaceProto> byName = new HashMap<>();

    private FleetConfiguration(FleetDocumentProto proto) {
        this.proto = proto;
        for (GraphWorkspaceProto workspace : proto.getWorkspacesList()) {
            byName.put(workspace.getName(), workspace);
            workspace.getKeysList().forEach(key -> byKey.put(key, workspace));
        }
    }

    /**
     * Wraps one version of the configuration.
     *
     * @param proto the message
     * @return the configuration
     */
    public static FleetConfiguration of(FleetDocumentProto proto) {
        return new FleetConfiguration(proto);
    }

    /**
     * The message.
     *
     * @return the whole configuration
     */
    public FleetDocumentProto proto() {
        return proto;
    }

    /**
     * Finds the workspace of a key.
     *
     * @param key the key
     * @return the workspace, or empty for an unknown key
     */
    public Optional<GraphWorkspaceProto> workspaceOfKey(String key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /**
     * Finds a workspace.
     *
     * @param name its name
     * @return the workspace, or empty if this version has none of that name
     */
    public Optional<GraphWorkspaceProto> workspace(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Finds the queue for a path.
     *
     * @param host the requested host, in upper or lower case
     * @param path the requested path
     * @return the queue of this host with the longest prefix of the path, or empty
     */
    public Optional<QueueProto> queueFor(String host, String path) {
        QueueProto longest = null;
        for (QueueProto queue : proto.getQueuesList()) {
            boolean matches = queue.getHost().equalsIgnoreCase(host) && path.startsWith(queue.getPathPrefix());
            boolean isLongest = longest == null
                    || queue.getPathPrefix().length() > longest.getPathPrefix().length();
            if (matches && isLongest) {
                longest = queue;
            }
        }
        return Optional.ofNullable(longest);
    }
}
