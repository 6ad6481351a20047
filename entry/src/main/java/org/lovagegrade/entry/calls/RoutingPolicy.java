package org.lovagegrade.entry.calls;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses where a call goes, from what this entry knows.
 *
 * <p>Example: {@code RoutingPolicy.named("shared-view", random)}
 */
@FunctionalInterface
public interface RoutingPolicy {
    /**
     * A target that may take a call.
     *
     * @param id the endpoint's or the owning entry's id
     * @param isLocal whether this entry owns the endpoint
     * @param freeSlots the slots believed to be free
     * @param callsInFlight the calls that this entry has in flight there
     */
    record Target(String id, boolean isLocal, long freeSlots, long callsInFlight) {}

    /**
     * Chooses.
     *
     * @param targets all usable targets for the service
     * @return one of them, or empty if the call should wait
     */
    Optional<Target> choose(List<Target> targets);

    /**
     * Own endpoints first, then the owner that is believed to have most slots free.
     *
     * @return the product's local policy
     */
    static RoutingPolicy sharedView() {
        return targets -> withMostFreeSlots(targets, true).or(() -> withMostFreeSlots(targets, false));
    }

    /**
     * Any target, whether it is believed to be free or not.
     *
     * @param random the source of randomness
     * @return a plain policy to compare with
     */
    static RoutingPolicy random(RandomGenerator random) {
        return targets ->
                targets.isEmpty() ? Optional.empty() : Optional.of(targets.get(random.nextInt(targets.size())));
    }

    /**
     * The local endpoint with the fewest calls in flight, and no others.
     *
     * @return a plain policy to compare with
     */
    static RoutingPolicy localLeast() {
        return targets -> targets.stream()
                .filter(target -> target.isLocal() && target.freeSlots() > 0)
                .min((a, b) -> Long.compare(a.callsInFlight(), b.callsInFlight()));
    }

    /**
     * Finds a policy by its name in the settings.
     *
     * @param name the name
     * @param random the source of randomness
     * @return the policy
     * @throws IllegalArgumentException if there is none of that name
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
