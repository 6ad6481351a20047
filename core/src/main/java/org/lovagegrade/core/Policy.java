package org.lovagegrade.core;

import java.util.List;
import java.util.Optional;
import org.lovagegrade.core.internal.Rules;

/**
 * A named way to decide; the baselines are kept to compare with.
 *
 * <p>Example: {@code Scheduler.with(Policy.current())}
 *
 * @param name the name by which replay finds it
 * @param rules what differs between policies
 */
public record Policy(String name, Rules rules) {
    /**
     * The product's own policy.
     *
     * @return the policy
     */
    public static Policy current() {
        return new Policy("current", Rules.current());
    }

    /**
     * First in first out, first fit.
     *
     * @return the baseline
     */
    public static Policy fifoFirstFit() {
        return new Policy("fifo-first-fit", Rules.fifoFirstFit());
    }

    /**
     * Workspaces by dominant share, first fit.
     *
     * @return the baseline
     */
    public static Policy fairFirstFit() {
        return new Policy("fair-first-fit", Rules.fairFirstFit());
    }

    /**
     * All policies.
     *
     * @return the product's own first
     */
    public static List<Policy> all() {
        return List.of(current(), fifoFirstFit(), fairFirstFit());
    }

    /**
     * Finds a policy.
     *
     * @param name its name
     * @return the policy, or empty
     */
    public static Optional<Policy> named(String name) {
        return all().stream().filter(policy -> policy.name().equals(name)).findFirst();
    }
}
