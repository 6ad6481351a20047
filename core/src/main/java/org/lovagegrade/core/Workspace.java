package org.lovagegrade.core;

/**
 * A workspace that submits work.
 *
 * @param id the workspace's id
 * @param share the part of a full cell that the workspace is to reach, from 0 to 1
 * @param limits the upper limits of what it may run
 */
public record Workspace(String id, double share, Limits limits) {
    /** Checks the share. */
    public Workspace {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException(
                    "expected: a share from 0 to 1\n  actual: " + share + "\n context: team " + id);
        }
    }
}
