package org.lovagegrade.graph.client;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.wire.proto.AdviceResultProto;

final class UnreportedResultsTest {
    private final UnreportedResults results = new UnreportedResults();

    @Nested
    final class FailedPoll {
        /** Guards against losing adviser time, and against a ticket that is taken to be fresh when it is old. */
        @Test
        void shouldKeepResultWithItsAge() {
            results.add(AdviceResultProto.newBuilder().setNumber(7).build(), 1_000);
            results.withAges(1_000);

            assertThat(results.withAges(2_500))
                    .containsExactly(AdviceResultProto.newBuilder()
                            .setNumber(7)
                            .setAgeMs(1_500)
                            .build());
        }

        /** Guards against unbounded growth while no leader is found. */
        @Test
        void shouldDropOldResult() {
            results.add(AdviceResultProto.newBuilder().setNumber(7).build(), 1_000);

            assertThat(results.withAges(6_001)).isEmpty();
        }
    }
}
