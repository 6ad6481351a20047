package org.lovagegrade.entry.endpoints.internal;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class EndpointHealthTest {
    private final EndpointHealth health = new EndpointHealth();

    private void fail(int times, long nowMs) {
        for (int i = 0; i < times; i++) {
            health.failed(nowMs);
        }
    }

    @Test
    void shouldEjectOnlyAfterConsecutiveFailures() {
        fail(2, 0);
        health.succeeded();
        fail(2, 0);
        assertThat(health.isEjected()).isFalse();
        fail(1, 0);
        assertThat(health.isEjected()).isTrue();
    }

    @Test
    void shouldAllowOneTrialAtATimeAfterGrowingPause() {
        // given
        fail(3, 0);

        // when, then
        assertThat(health.mayStartTrial(999)).isFalse();
        assertThat(health.mayStartTrial(1_000)).isTrue();
        health.trialStarted();
        assertThat(health.mayStartTrial(1_001)).isFalse();

        // when
        fail(1, 1_500);

        // then
        assertThat(health.mayStartTrial(3_499)).isFalse();
        assertThat(health.mayStartTrial(3_500)).isTrue();
        health.succeeded();
        assertThat(health.isEjected()).isFalse();
    }
}
