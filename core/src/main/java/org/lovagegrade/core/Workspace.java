package org.lovagegrade.core;

/**
 * A workspace, which submits jobs.
 *
 * @param id the workspace's id
 * @param share the share of the cell that the workspace is entitled to when the cell is full, from 0 to 1
 * @param limits the upper limits of the resources that its running tasks use
 */
public record Workspace(String id, double share, Limits limits) {
    /**
     * Validates the share.
     *
     * @throws IllegalArgumentException if the share is not from 0 to 1
     */
    public Workspace {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException(
                    "expected: a share from 0 to 1\n  actual: " + share + "\n context: team " + id);
        }
    }
}
