package org.lovagegrade.core;

import java.util.List;
import java.util.Optional;
import org.lovagegrade.core.internal.Rules;

/**
 * A named scheduling policy. The baselines serve for comparison with the production policy.
 *
 * <p>Example: {@code Scheduler.with(Policy.current())}
 *
 * @param name the name, by which the replay tool selects it
 * @param rules the rules of the policy
 */
public record Policy(String name, Rules rules) {
    /**
     * Returns the production policy.
     *
     * @return the policy
     */
    public static Policy current() {
        return new Policy("current", Rules.current());
    }

    /**
     * Returns the baseline that places jobs in order of submission, first fit.
     *
     * @return the baseline
     */
    public static Policy fifoFirstFit() {
        return new Policy("fifo-first-fit", Rules.fifoFirstFit());
    }

    /**
     * Returns the baseline that orders workspaces by dominant share, first fit.
     *
     * @return the baseline
     */
    public static Policy fairFirstFit() {
        return new Policy("fair-first-fit", Rules.fairFirstFit());
    }

    /**
     * Returns all policies.
     *
     * @return the policies, the production policy first
     */
    public static List<Policy> all() {
        return List.of(current(), fifoFirstFit(), fairFirstFit());
    }

    /**
     * Finds a policy by name.
     *
     * @param name the name
     * @return the policy, or empty
     */
    public static Optional<Policy> named(String name) {
        return all().stream().filter(policy -> policy.name().equals(name)).findFirst();
    }
}
