package org.lovagegrade.entry.calls.internal;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
    @Test
    void shouldAllowOneRetryForTenCallsOnceTheSavedOnesAreSpent() {
        // given
        RetryBudget budget = new RetryBudget();
        int saved = 0;
        while (budget.tryTake()) {
            saved++;
        }

        // when
        int taken = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.firstAttempt();
            taken += budget.tryTake() ? 1 : 0;
        }

        // then
        assertThat(saved).isEqualTo(10);
        assertThat(taken).isAtMost(100);
        assertThat(taken).isAtLeast(95);
    }
}
