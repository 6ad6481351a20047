package org.lovagegrade.entry.calls.internal;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.entry.calls.CallRequest;

final class CallQueueTest {
    private final CallQueue queue = new CallQueue();

    private PendingCall add(String id, String workspace, long startByMs) {
        CallRequest request = new CallRequest(
                id, workspace, "fitting", "orders", "GET", "/", List.of(), ByteString.EMPTY, true, 10_000, startByMs);
        PendingCall call = new PendingCall(request, _outcome -> {}, 0);
        queue.add(call);
        return call;
    }

    private String takeNext(Map<String, Double> shareUtilization) {
        PendingCall call = queue.takeNext(
                "orders", true, _call -> true, workspace -> shareUtilization.getOrDefault(workspace, 0.0));
        return call == null ? "" : call.request().id();
    }

    @Test
    void shouldTakeFromWorkspaceWithLowestShareUtilizationFirst() {
        // given
        add("a", "norte", 100);
        add("b", "sur", 200);

        // when, then
        assertThat(takeNext(Map.of("norte", 2.0, "sur", 1.0))).isEqualTo("b");
    }

    @Test
    void shouldTakeCallWithLeastSlackFirstWithinWorkspace() {
        // given
        add("late", "norte", 300);
        add("soon", "norte", 100);

        // when, then
        assertThat(takeNext(Map.of())).isEqualTo("soon");
        assertThat(takeNext(Map.of())).isEqualTo("late");
        assertThat(takeNext(Map.of())).isEmpty();
    }

    @Test
    void shouldSkipWorkspacesThatMayNotStart() {
        // given
        add("a", "norte", 100);
        add("b", "sur", 200);

        // when
        PendingCall call = queue.takeNext(
                "orders", true, queued -> queued.request().workspace().equals("sur"), _workspace -> 0);

        // then
        assertThat(call.request().id()).isEqualTo("b");
        assertThat(queue.size()).isEqualTo(1);
    }

    @Test
    void shouldRemoveOnlyOverdueCalls() {
        // given
        add("first", "norte", 100);
        add("second", "norte", 200);
        PendingCall admitted = add("third", "sur", 100);

        // when
        List<PendingCall> overdue = queue.removeOverdue(150);

        // then
        assertThat(overdue.stream().map(call -> call.request().id()).toList())
                .containsExactly("first", "third")
                .inOrder();
        assertThat(queue.queuedCalls("norte")).isEqualTo(1);
        assertThat(admitted.isAdmitted()).isFalse();
    }

    @Test
    void shouldKeepAdmittedCallUntilDeadline() {
        // given
        CallRequest request = new CallRequest(
                "again", "norte", "fitting", "orders", "GET", "/", List.of(), ByteString.EMPTY, true, 10_000, 100);
        PendingCall call = new PendingCall(request, _outcome -> {}, 0);
        call.admit();
        queue.add(call);

        // when, then
        assertThat(queue.removeOverdue(9_999)).isEmpty();
        assertThat(queue.removeOverdue(10_000)).containsExactly(call);
    }

    @Nested
    final class CallsFromPeers {
        private final PendingCall forwarded = PendingCall.forwarded(
                new CallRequest(
                        "guest", "norte", "fitting", "orders", "GET", "/", List.of(), ByteString.EMPTY, true, 900, 100),
                _outcome -> {},
                0);

        @Test
        void shouldBeOrderedLikeLocalCalls() {
            // given
            add("late", "norte", 300);
            queue.add(forwarded);

            // when, then
            assertThat(takeNext(Map.of())).isEqualTo("guest");
            assertThat(takeNext(Map.of())).isEqualTo("late");
        }

        @Test
        void shouldNotBeForwardedAgainNorBlockLocalCalls() {
            // given
            queue.add(forwarded);
            add("late", "norte", 300);

            // when
            PendingCall first = queue.takeNext("orders", false, _call -> true, _workspace -> 0);
            PendingCall second = queue.takeNext("orders", false, _call -> true, _workspace -> 0);

            // then
            assertThat(first.request().id()).isEqualTo("late");
            assertThat(second).isNull();
        }

        @Test
        void shouldBeRemovedWhenWaitTimeIsOver() {
            // given
            queue.add(forwarded);

            // when, then
            assertThat(queue.removeOverdue(99)).isEmpty();
            assertThat(queue.removeOverdue(100)).containsExactly(forwarded);
        }
    }
}
