package org.lovagegrade.cli.trace;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class TimelineTest {
    private static final String JOB = "5c0e7a21d94b36f8";

    private final List<LogLine> lines = new ArrayList<>();

    private void addLine(String text) {
        LogLine.parse("file.log", lines.size() + 1L, text).ifPresent(lines::add);
    }

    @Nested
    final class Parsing {
        @Test
        void shouldTakeTheWordBeforeTheObjectAsTheSource() {
            addLine("  4.2 core-a-1 {\"atMs\":1,\"event\":\"jobAccepted\",\"job\":\"" + JOB + "\"}");

            assertThat(lines.get(0).source()).isEqualTo("core-a-1");
        }

        @Test
        void shouldIgnoreLinesWithoutAnEvent() {
            addLine("a word");
            addLine("{\"atMs\":1,\"event\":\"cut");

            assertThat(lines).isEmpty();
        }

        @Test
        void shouldContainOnlyTheRunsOfTheJob() {
            addLine("{\"atMs\":1,\"event\":\"runEnded\",\"run\":\"" + JOB + ".0.1.17#2\"}");
            addLine("{\"atMs\":2,\"event\":\"runEnded\",\"run\":\"" + JOB + "9.0.1.17#2\"}");

            assertThat(Timeline.of(JOB, lines).lines()).hasSize(1);
        }
    }

    @Nested
    final class Order {
        @Test
        void shouldKeepTheOrderOfAProcessWhoseClockJumpsBack() {
            addLine("{\"atMs\":500,\"event\":\"jobAccepted\",\"job\":\"" + JOB + "\"}");
            addLine("{\"atMs\":100,\"event\":\"jobOver\",\"job\":\"" + JOB + "\"}");

            assertThat(Timeline.of(JOB, lines).lines().get(0).event()).isEqualTo("jobAccepted");
        }
    }

    @Nested
    final class GivenUpJobs {
        @Test
        void shouldNameTheTaskThatCrashedItsWorkers() {
            addLine("{\"atMs\":1,\"event\":\"startDecided\",\"run\":\"" + JOB + ".0.0.0#1\",\"worker\":\"w1\"}");
            addLine("{\"atMs\":2,\"event\":\"workerGone\",\"worker\":\"w1\"}");
            addLine("{\"atMs\":3,\"event\":\"runLost\",\"run\":\"" + JOB + ".0.0.0#1\",\"worker\":\"w1\"}");
            addLine("{\"atMs\":4,\"event\":\"jobGivenUp\",\"job\":\"" + JOB + "\",\"task\":\"" + JOB
                    + ".0.0.0\",\"crashes\":3}");
            addLine("{\"atMs\":5,\"event\":\"jobOver\",\"job\":\"" + JOB + "\",\"state\":\"GRAPH_FAILED\"}");

            String cause = Timeline.of(JOB, lines).cause();

            assertThat(cause).contains("1 were lost");
            assertThat(cause).contains("given up, since 3 workers crashed under its task " + JOB + ".0.0.0");
        }
    }

    @Nested
    final class LostWorkers {
        private void addStartDecided(long atMs, String worker) {
            addLine("{\"atMs\":" + atMs + ",\"event\":\"startDecided\",\"run\":\"" + JOB + ".0.0.0#1\",\"worker\":\""
                    + worker + "\"}");
        }

        private void addWorkerLoss(long atMs, String event, String worker) {
            addLine("{\"atMs\":" + atMs + ",\"event\":\"" + event + "\",\"worker\":\"" + worker + "\"}");
        }

        @Test
        void shouldBeIncludedWhileARunOfTheJobIsOpen() {
            // given: a worker that is lost during a run, and another one
            addStartDecided(1, "w1");
            addWorkerLoss(2, "workerLapsed", "w2");
            addWorkerLoss(3, "workerLapsed", "w1");
            addWorkerLoss(4, "workerGone", "w1");
            addLine("{\"atMs\":5,\"event\":\"jobOver\",\"job\":\"" + JOB + "\",\"state\":\"GRAPH_COMPLETED\"}");

            // when
            Timeline timeline = Timeline.of(JOB, lines);

            // then
            assertThat(timeline.lines().stream().map(LogLine::event).toList())
                    .containsExactly("startDecided", "workerLapsed", "jobOver")
                    .inOrder();
            assertThat(timeline.cause()).contains("1 workers were lost during its runs");
        }

        @Test
        void shouldNotBeIncludedAfterTheRunHasEnded() {
            addStartDecided(1, "w1");
            addLine("{\"atMs\":2,\"event\":\"runEnded\",\"run\":\"" + JOB + ".0.0.0#1\",\"worker\":\"w1\"}");
            addWorkerLoss(3, "workerGone", "w1");

            assertThat(Timeline.of(JOB, lines).lines()).hasSize(2);
        }
    }

    @Nested
    final class Cause {
        @Test
        void shouldStateWhyARequestWasRefused() {
            addLine("{\"atMs\":1,\"event\":\"callerRefused\",\"path\":\"/p/" + JOB
                    + "\",\"outcome\":\"CALLER_UNKNOWN_KEY\",\"reason\":\"no workspace has this key\","
                    + "\"documentVersion\":7}");

            assertThat(Timeline.of(JOB, lines).cause())
                    .isEqualTo("refused: CALLER_UNKNOWN_KEY, no workspace has this key (configuration version 7)");
        }

        @Test
        void shouldStateHowAJobEndedAndWhatHappenedToItsRuns() {
            addLine("{\"atMs\":1,\"event\":\"jobAccepted\",\"job\":\"" + JOB + "\"}");
            addLine("{\"atMs\":2,\"event\":\"runEnded\",\"run\":\"" + JOB + ".0.0.0#1\",\"how\":\"RUN_FAILED\"}");
            addLine("{\"atMs\":3,\"event\":\"jobOver\",\"job\":\"" + JOB
                    + "\",\"state\":\"GRAPH_FAILED\",\"tookMs\":812}");

            assertThat(Timeline.of(JOB, lines).cause())
                    .startsWith("finished as GRAPH_FAILED after 812 ms; 1 runs failed");
        }

        @Test
        void shouldStateThatTheLogsContainNothing() {
            assertThat(Timeline.of(JOB, lines).cause()).contains("nothing in these logs");
        }

        @Test
        void shouldStateThatAnUnacceptedRequestHasNotRun() {
            addLine("{\"atMs\":1,\"event\":\"requestUnanswered\",\"path\":\"/p/" + JOB + "\",\"perhapsTaken\":false}");

            assertThat(Timeline.of(JOB, lines).cause()).contains("it has not run");
        }
    }
}
