package org.lovagegrade.entry.calls.internal;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class RetryBudgetTest {
    @Test
    void shouldAllowOneRetryPerTenCallsAfterInitialTokensAreSpent() {
        // given
        RetryBudget budget = new RetryBudget();
        int initialRetries = 0;
        while (budget.tryAcquire()) {
            initialRetries++;
        }

        // when
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.recordFirstAttempt();
            retries += budget.tryAcquire() ? 1 : 0;
        }

        // then
        assertThat(initialRetries).isEqualTo(10);
        assertThat(retries).isAtMost(100);
        assertThat(retries).isAtLeast(95);
    }
}
