package org.lovagegrade.core;

/**
 * A team that submits work.
 *
 * @param id the team's id
 * @param share the part of a full cell that the team is to reach, from 0 to 1
 * @param limits the upper limits of what it may run
 */
public record Team(String id, double share, Limits limits) {
    /** Checks the share. */
    public Team {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException(
                    "expected: a share from 0 to 1\n  actual: " + share + "\n context: team " + id);
        }
    }
}
