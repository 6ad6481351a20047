package org.lovagegrade.graph.machine;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lovagegrade.wire.proto.FleetDocumentProto;
import org.lovagegrade.wire.proto.GraphWorkspaceProto;
import org.lovagegrade.wire.proto.QueueProto;

/** The desired state of one version, with its lookups. */
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
     * Wraps a version.
     *
     * @param proto the message
     * @return the document
     */
    public static FleetConfiguration of(FleetDocumentProto proto) {
        return new FleetConfiguration(proto);
    }

    /**
     * The message.
     *
     * @return the whole document
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
     * @return the workspace, or empty
     */
    public Optional<GraphWorkspaceProto> workspace(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /**
     * Finds the queue for a path.
     *
     * @param host the host that the caller asked for
     * @param path the path that the caller asked for
     * @return the queue with the longest prefix that the path begins with, or empty
     */
    public Optional<QueueProto> queueFor(String host, String path) {
        QueueProto found = null;
        for (QueueProto queue : proto.getQueuesList()) {
            boolean matches = queue.getHost().equalsIgnoreCase(host) && path.startsWith(queue.getPathPrefix());
            boolean isLonger = found == null
                    || queue.getPathPrefix().length() > found.getPathPrefix().length();
            if (matches && isLonger) {
                found = queue;
            }
        }
        return Optional.ofNullable(found);
    }
}
