package org.lovagegrade.entry.calls;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class RoutingPolicyTest {
    private static final RoutingPolicy.Place OWN_FULL = new RoutingPolicy.Place("own", true, 0, 8);
    private static final RoutingPolicy.Place OWN_FREE = new RoutingPolicy.Place("own-2", true, 1, 7);
    private static final RoutingPolicy.Place PEER = new RoutingPolicy.Place("e2", false, 6, 0);
    private static final RoutingPolicy.Place FREER_PEER = new RoutingPolicy.Place("e3", false, 9, 0);

    @Test
    void shouldTakeOwnSlotsBeforeThoseOfOthers() {
        RoutingPolicy policy = RoutingPolicy.sharedView();
        assertThat(policy.choose(List.of(PEER, OWN_FULL, OWN_FREE)).orElseThrow())
                .isEqualTo(OWN_FREE);
        assertThat(policy.choose(List.of(PEER, OWN_FULL, FREER_PEER)).orElseThrow())
                .isEqualTo(FREER_PEER);
        assertThat(policy.choose(List.of(OWN_FULL))).isEmpty();
    }

    @Test
    void shouldNotLeaveTheEntryWhenLocal() {
        assertThat(RoutingPolicy.localLeast().choose(List.of(PEER, OWN_FULL))).isEmpty();
        assertThat(RoutingPolicy.localLeast().choose(List.of(PEER, OWN_FREE)).orElseThrow())
                .isEqualTo(OWN_FREE);
    }

    @Test
    void shouldBeFoundByName() {
        assertThat(RoutingPolicy.named("random", new Random(1))
                        .choose(List.of(PEER))
                        .orElseThrow())
                .isEqualTo(PEER);
        assertThrows(IllegalArgumentException.class, () -> RoutingPolicy.named("unknown", new Random(1)));
    }
}
