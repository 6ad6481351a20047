package org.lovagegrade.cli.trace;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TimelineTest {
    private static final String JOB = "5c0e7a21d94b36f8";

    private final List<LogLine> lines = new ArrayList<>();

    private void line(String text) {
        LogLine.parse("file.log", lines.size() + 1L, text).ifPresent(lines::add);
    }

    @Nested
    final class Lines {
        @Test
        void shouldNameTheProcessThatStandsBeforeTheObject() {
            line("  4.2 core-a-1 {\"atMs\":1,\"event\":\"jobAccepted\",\"job\":\"" + JOB + "\"}");

            assertThat(lines.get(0).source()).isEqualTo("core-a-1");
        }

        @Test
        void shouldPassOverWhatIsNoEvent() {
            line("a word");
            line("{\"atMs\":1,\"event\":\"cut");

            assertThat(lines).isEmpty();
        }

        @Test
        void shouldFollowTheRunsOfAJobAndNoOthers() {
            line("{\"atMs\":1,\"event\":\"runEnded\",\"run\":\"" + JOB + ".0.1.17#2\"}");
            line("{\"atMs\":2,\"event\":\"runEnded\",\"run\":\"" + JOB + "9.0.1.17#2\"}");

            assertThat(Timeline.of(JOB, lines).lines()).hasSize(1);
        }
    }

    @Nested
    final class Order {
        @Test
        void shouldKeepTheOrderOfAProcessWhoseClockJumpsBack() {
            line("{\"atMs\":500,\"event\":\"jobAccepted\",\"job\":\"" + JOB + "\"}");
            line("{\"atMs\":100,\"event\":\"jobOver\",\"job\":\"" + JOB + "\"}");

            assertThat(Timeline.of(JOB, lines).lines().get(0).event()).isEqualTo("jobAccepted");
        }
    }

    @Nested
    final class LostWorkers {
        private void starts(long atMs, String worker) {
            line("{\"atMs\":" + atMs + ",\"event\":\"startDecided\",\"run\":\"" + JOB + ".0.0.0#1\",\"worker\":\""
                    + worker + "\"}");
        }

        private void loses(long atMs, String event, String worker) {
            line("{\"atMs\":" + atMs + ",\"event\":\"" + event + "\",\"worker\":\"" + worker + "\"}");
        }

        @Test
        void shouldBeShownWhileTheyRanSomethingOfTheJob() {
            // given: a worker that is lost during a run, and another one
            starts(1, "w1");
            loses(2, "workerLapsed", "w2");
            loses(3, "workerLapsed", "w1");
            loses(4, "workerGone", "w1");
            line("{\"atMs\":5,\"event\":\"jobOver\",\"job\":\"" + JOB + "\",\"state\":\"GRAPH_COMPLETED\"}");

            // when
            Timeline timeline = Timeline.of(JOB, lines);

            // then
            assertThat(timeline.lines().stream().map(LogLine::event).toList())
                    .containsExactly("startDecided", "workerLapsed", "jobOver")
                    .inOrder();
            assertThat(timeline.cause()).contains("1 workers were lost with runs of it");
        }

        @Test
        void shouldNotBeShownAfterTheRunHasEnded() {
            starts(1, "w1");
            line("{\"atMs\":2,\"event\":\"runEnded\",\"run\":\"" + JOB + ".0.0.0#1\",\"worker\":\"w1\"}");
            loses(3, "workerGone", "w1");

            assertThat(Timeline.of(JOB, lines).lines()).hasSize(2);
        }
    }

    @Nested
    final class Cause {
        @Test
        void shouldTellWhyARequestWasRefused() {
            line("{\"atMs\":1,\"event\":\"callerRefused\",\"path\":\"/p/" + JOB
                    + "\",\"outcome\":\"CALLER_UNKNOWN_KEY\",\"reason\":\"no workspace has this key\","
                    + "\"documentVersion\":7}");

            assertThat(Timeline.of(JOB, lines).cause())
                    .isEqualTo("refused: CALLER_UNKNOWN_KEY, no workspace has this key (desired state 7)");
        }

        @Test
        void shouldTellHowAJobEndedAndWhatItsRunsWentThrough() {
            line("{\"atMs\":1,\"event\":\"jobAccepted\",\"job\":\"" + JOB + "\"}");
            line("{\"atMs\":2,\"event\":\"runEnded\",\"run\":\"" + JOB + ".0.0.0#1\",\"how\":\"RUN_FAILED\"}");
            line("{\"atMs\":3,\"event\":\"jobOver\",\"job\":\"" + JOB
                    + "\",\"state\":\"GRAPH_FAILED\",\"tookMs\":812}");

            assertThat(Timeline.of(JOB, lines).cause()).startsWith("over as GRAPH_FAILED after 812 ms; 1 runs failed");
        }

        @Test
        void shouldTellThatNothingIsKnown() {
            assertThat(Timeline.of(JOB, lines).cause()).contains("nothing in these logs");
        }

        @Test
        void shouldTellARequestThatMayHaveBeenTakenInFromOneThatWasNot() {
            line("{\"atMs\":1,\"event\":\"requestUnanswered\",\"path\":\"/p/" + JOB + "\",\"perhapsTaken\":false}");

            assertThat(Timeline.of(JOB, lines).cause()).contains("it has not run");
        }
    }
}
