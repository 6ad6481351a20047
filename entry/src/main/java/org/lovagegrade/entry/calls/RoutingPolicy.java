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
     * A place that may take a call.
     *
     * @param id the endpoint's or the owning entry's id
     * @param isOwn whether this entry owns the endpoint
     * @param free the slots believed to be free
     * @param busy the calls that this entry has in flight there
     */
    record Place(String id, boolean isOwn, long free, long busy) {}

    /**
     * Chooses.
     *
     * @param places all usable places for the service
     * @return one of them, or empty if the call should wait
     */
    Optional<Place> choose(List<Place> places);

    /**
     * Own endpoints first, then the owner that is believed to have most slots free.
     *
     * @return the product's own policy
     */
    static RoutingPolicy sharedView() {
        return places -> freest(places, true).or(() -> freest(places, false));
    }

    /**
     * Any place, whether it is believed to be free or not.
     *
     * @param random the source of randomness
     * @return a plain policy to compare with
     */
    static RoutingPolicy random(RandomGenerator random) {
        return places -> places.isEmpty() ? Optional.empty() : Optional.of(places.get(random.nextInt(places.size())));
    }

    /**
     * The own endpoint with the fewest calls in flight, and no others.
     *
     * @return a plain policy to compare with
     */
    static RoutingPolicy localLeast() {
        return places -> places.stream()
                .filter(place -> place.isOwn() && place.free() > 0)
                .min((a, b) -> Long.compare(a.busy(), b.busy()));
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

    private static Optional<Place> freest(List<Place> places, boolean own) {
        return places.stream()
                .filter(place -> place.isOwn() == own && place.free() > 0)
                .max((a, b) -> Long.compare(a.free(), b.free()));
    }
}
