package org.lovagegrade.entry.calls;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

final class RoutingPolicyTest {
    private static final RoutingPolicy.Target LOCAL_FULL = new RoutingPolicy.Target("own", true, 0, 8);
    private static final RoutingPolicy.Target LOCAL_FREE = new RoutingPolicy.Target("own-2", true, 1, 7);
    private static final RoutingPolicy.Target PEER = new RoutingPolicy.Target("e2", false, 6, 0);
    private static final RoutingPolicy.Target FREER_PEER = new RoutingPolicy.Target("e3", false, 9, 0);

    @Test
    void shouldPreferLocalEndpointsOverPeers() {
        RoutingPolicy policy = RoutingPolicy.sharedView();
        assertThat(policy.choose(List.of(PEER, LOCAL_FULL, LOCAL_FREE)).orElseThrow())
                .isEqualTo(LOCAL_FREE);
        assertThat(policy.choose(List.of(PEER, LOCAL_FULL, FREER_PEER)).orElseThrow())
                .isEqualTo(FREER_PEER);
        assertThat(policy.choose(List.of(LOCAL_FULL))).isEmpty();
    }

    @Test
    void shouldUseOnlyLocalEndpointsWithLocalLeast() {
        assertThat(RoutingPolicy.localLeast().choose(List.of(PEER, LOCAL_FULL))).isEmpty();
        assertThat(RoutingPolicy.localLeast().choose(List.of(PEER, LOCAL_FREE)).orElseThrow())
                .isEqualTo(LOCAL_FREE);
    }

    @Test
    void shouldFindPolicyByName() {
        assertThat(RoutingPolicy.named("random", new Random(1))
                        .choose(List.of(PEER))
                        .orElseThrow())
                .isEqualTo(PEER);
        assertThrows(IllegalArgumentException.class, () -> RoutingPolicy.named("unknown", new Random(1)));
    }
}
