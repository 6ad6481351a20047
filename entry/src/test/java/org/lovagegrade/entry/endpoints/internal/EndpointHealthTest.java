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
    void shouldEjectAfterFailuresInARowOnly() {
        fail(2, 0);
        health.succeeded();
        fail(2, 0);
        assertThat(health.isEjected()).isFalse();
        fail(1, 0);
        assertThat(health.isEjected()).isTrue();
    }

    @Test
    void shouldAllowOneTrialAtATimeAfterAPauseThatGrows() {
        // given
        fail(3, 0);

        // when, then
        assertThat(health.mayTry(999)).isFalse();
        assertThat(health.mayTry(1_000)).isTrue();
        health.trialStarted();
        assertThat(health.mayTry(1_001)).isFalse();

        // when
        fail(1, 1_500);

        // then
        assertThat(health.mayTry(3_499)).isFalse();
        assertThat(health.mayTry(3_500)).isTrue();
        health.succeeded();
        assertThat(health.isEjected()).isFalse();
    }
}
