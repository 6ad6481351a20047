package org.lovagegrade.overload;

/** What is short when work is refused. */
public enum RefusalReason {
    /** The workers can't serve the work ahead in time. */
    FLEET_FULL,
    /** The upper limit of the workspace doesn't let the work ahead be served in time. */
    WORKSPACE_FULL
}
