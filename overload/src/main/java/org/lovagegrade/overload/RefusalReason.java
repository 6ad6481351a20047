package org.lovagegrade.overload;

/** What is short when work is refused. */
public enum RefusalReason {
    /** The workers can't serve the work ahead in time. */
    FLEET_FULL,
    /** The workspace can't serve the work ahead in time within its own limit. */
    WORKSPACE_FULL
}
