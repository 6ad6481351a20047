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

    /** Guards against a completed job of the product's own fleet whose end is reported as missing. */
    @Nested
    final class OwnFleet {
        private void addApplied(long atMs, long index, String command, String fields) {
            addLine("{\"atMs\":" + atMs + ",\"event\":\"applied\",\"index\":" + index + ",\"command\":\"" + command
                    + "\",\"object\":\"" + JOB + "\"," + fields + "}");
        }

        private void addDecision(long atMs, long index, String action, int task, String reason) {
            addLine("{\"atMs\":" + atMs + ",\"event\":\"decision\",\"index\":" + index + ",\"action\":\"" + action
                    + "\",\"job\":\"" + JOB + "\",\"task\":" + task + ",\"attempt\":1,\"reason\":\"" + reason + "\"}");
        }

        /** A job of two tasks as each of two replicas reports it, the second one 50 ms later. */
        private void addCompletedJob() {
            for (int delayMs : new int[] {0, 50}) {
                addApplied(delayMs + 1_000, 7, "SUBMIT", "\"status\":\"OK\",\"tasks\":2");
                addDecision(delayMs + 1_010, 8, "PLACE", 0, "");
                addDecision(delayMs + 1_010, 8, "PLACE", 1, "");
                addDecision(delayMs + 1_020, 9, "END", 0, "completed");
                addDecision(delayMs + 1_030, 10, "END", 1, "completed");
            }
        }

        @Test
        void shouldStateThatAllTasksOfAJobHaveCompleted() {
            addCompletedJob();

            assertThat(Timeline.of(JOB, lines).cause())
                    .isEqualTo("completed after 30 ms, all 2 tasks; 0 attempts were stopped, lost or failed");
        }

        @Test
        void shouldStateThatAJobIsNotOver() {
            addCompletedJob();
            lines.removeIf(line -> line.text("index").equals("10"));

            assertThat(Timeline.of(JOB, lines).cause()).contains("its end is not in these logs; 1 of 2 tasks");
        }

        @Test
        void shouldStateWhyAJobFailed() {
            addDecision(1_000, 8, "PLACE", 0, "");
            addDecision(1_010, 9, "FAIL", 0, "exit code 3");
            addDecision(1_020, 10, "FAIL", -1, "tooManyFailures");

            assertThat(Timeline.of(JOB, lines).cause())
                    .isEqualTo("failed: tooManyFailures; 1 attempts were stopped, lost or failed");
        }

        @Test
        void shouldStateWhyASubmissionWasRefused() {
            addApplied(1_000, 7, "SUBMIT", "\"status\":\"REFUSED\",\"reason\":\"overloaded\"");

            assertThat(Timeline.of(JOB, lines).cause()).startsWith("refused: overloaded");
        }
    }
}
