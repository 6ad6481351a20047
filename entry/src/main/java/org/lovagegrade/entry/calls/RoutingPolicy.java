package org.lovagegrade.entry.calls;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the target of a call from what this entry knows about endpoints and peers.
 *
 * <p>Example: {@code RoutingPolicy.named("shared-view", random)}
 */
@FunctionalInterface
public interface RoutingPolicy {
    /**
     * A possible target of a call: an endpoint that this entry owns, or another entry.
     *
     * @param id the id of the endpoint, or of the other entry
     * @param isLocal whether the target is an endpoint that this entry owns
     * @param freeSlots the number of free slots as last known
     * @param callsInFlight the number of calls in flight from this entry; 0 for other entries
     */
    record Target(String id, boolean isLocal, long freeSlots, long callsInFlight) {}

    /**
     * Chooses a target.
     *
     * @param targets all usable targets of the service
     * @return one of them, or empty if the call must wait
     */
    Optional<Target> choose(List<Target> targets);

    /**
     * Prefers local endpoints, then other entries; among these the target with the most free slots.
     *
     * @return the default policy
     */
    static RoutingPolicy sharedView() {
        return targets -> withMostFreeSlots(targets, true).or(() -> withMostFreeSlots(targets, false));
    }

    /**
     * Chooses any target at random, whether or not it has free slots.
     *
     * @param random the source of randomness
     * @return a baseline policy for comparisons
     */
    static RoutingPolicy random(RandomGenerator random) {
        return targets ->
                targets.isEmpty() ? Optional.empty() : Optional.of(targets.get(random.nextInt(targets.size())));
    }

    /**
     * Chooses the local endpoint with the fewest calls in flight; never forwards to other entries.
     *
     * @return a baseline policy for comparisons
     */
    static RoutingPolicy localLeast() {
        return targets -> targets.stream()
                .filter(target -> target.isLocal() && target.freeSlots() > 0)
                .min((a, b) -> Long.compare(a.callsInFlight(), b.callsInFlight()));
    }

    /**
     * Returns the policy with the name used in the settings.
     *
     * @param name the name
     * @param random the source of randomness
     * @return the policy
     * @throws IllegalArgumentException if no policy has this name
     */
    static RoutingPolicy named(String name, RandomGenerator random) {
        Map<String, RoutingPolicy> known =
                Map.of("shared-view", sharedView(), "random", random(random), "local-least", localLeast());
        RoutingPolicy policy = known.get(name);
        if (policy == null) {
            throw new IllegalArgumentException("expected: one of " + known.keySet() + "\n  actual: " + name);
        }
        return policy;
    }

    private static Optional<Target> withMostFreeSlots(List<Target> targets, boolean local) {
        return targets.stream()
                .filter(target -> target.isLocal() == local && target.freeSlots() > 0)
                .max((a, b) -> Long.compare(a.freeSlots(), b.freeSlots()));
    }
}
