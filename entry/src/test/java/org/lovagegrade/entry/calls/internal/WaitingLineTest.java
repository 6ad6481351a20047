package org.lovagegrade.entry.calls.internal;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.entry.calls.CallRequest;

final class WaitingLineTest {
    private final WaitingLine line = new WaitingLine();

    private PendingCall add(String id, String workspace, long startByMs) {
        CallRequest request = new CallRequest(
                id, workspace, "fitting", "orders", "GET", "/", List.of(), ByteString.EMPTY, true, 10_000, startByMs);
        PendingCall call = new PendingCall(request, _outcome -> {}, 0);
        line.add(call);
        return call;
    }

    private String takeNext(Map<String, Double> useOfShare) {
        PendingCall call =
                line.takeNext("orders", true, _call -> true, workspace -> useOfShare.getOrDefault(workspace, 0.0));
        return call == null ? "" : call.request().id();
    }

    @Test
    void shouldTakeTheWorkspaceFurthestBelowItsShareFirst() {
        // given
        add("a", "norte", 100);
        add("b", "sur", 200);

        // when, then
        assertThat(takeNext(Map.of("norte", 2.0, "sur", 1.0))).isEqualTo("b");
    }

    @Test
    void shouldTakeTheLeastSlackFirstWithinAWorkspace() {
        // given
        add("late", "norte", 300);
        add("soon", "norte", 100);

        // when, then
        assertThat(takeNext(Map.of())).isEqualTo("soon");
        assertThat(takeNext(Map.of())).isEqualTo("late");
        assertThat(takeNext(Map.of())).isEmpty();
    }

    @Test
    void shouldPassOverWorkspacesThatMayNotStart() {
        // given
        add("a", "norte", 100);
        add("b", "sur", 200);

        // when
        PendingCall call = line.takeNext(
                "orders", true, waiting -> waiting.request().workspace().equals("sur"), _workspace -> 0);

        // then
        assertThat(call.request().id()).isEqualTo("b");
        assertThat(line.size()).isEqualTo(1);
    }

    @Test
    void shouldTakeOutOnlyWhatIsOverdue() {
        // given
        add("first", "norte", 100);
        add("second", "norte", 200);
        PendingCall admitted = add("third", "sur", 100);

        // when
        List<PendingCall> overdue = line.takeOverdue(150);

        // then
        assertThat(overdue.stream().map(call -> call.request().id()).toList())
                .containsExactly("first", "third")
                .inOrder();
        assertThat(line.waiting("norte")).isEqualTo(1);
        assertThat(admitted.isAdmitted()).isFalse();
    }

    @Test
    void shouldKeepAnAdmittedCallUntilItsDeadline() {
        // given
        CallRequest request = new CallRequest(
                "again", "norte", "fitting", "orders", "GET", "/", List.of(), ByteString.EMPTY, true, 10_000, 100);
        PendingCall call = new PendingCall(request, _outcome -> {}, 0);
        call.admit();
        line.add(call);

        // when, then
        assertThat(line.takeOverdue(9_999)).isEmpty();
        assertThat(line.takeOverdue(10_000)).containsExactly(call);
    }

    @Nested
    final class CallsOfOtherEntries {
        private final PendingCall guest = PendingCall.guest(
                new CallRequest(
                        "guest", "norte", "fitting", "orders", "GET", "/", List.of(), ByteString.EMPTY, true, 900, 100),
                _outcome -> {},
                0);

        @Test
        void shouldWaitByTheSameRuleAsThoseReceivedHere() {
            // given
            add("late", "norte", 300);
            line.add(guest);

            // when, then
            assertThat(takeNext(Map.of())).isEqualTo("guest");
            assertThat(takeNext(Map.of())).isEqualTo("late");
        }

        @Test
        void shouldNeverBePassedOnNorHoldUpThoseThatMayBe() {
            // given
            line.add(guest);
            add("late", "norte", 300);

            // when
            PendingCall first = line.takeNext("orders", false, _call -> true, _workspace -> 0);
            PendingCall second = line.takeNext("orders", false, _call -> true, _workspace -> 0);

            // then
            assertThat(first.request().id()).isEqualTo("late");
            assertThat(second).isNull();
        }

        @Test
        void shouldGoBackWhenTheirVisitIsOver() {
            // given
            line.add(guest);

            // when, then
            assertThat(line.takeOverdue(99)).isEmpty();
            assertThat(line.takeOverdue(100)).containsExactly(guest);
        }
    }
}
