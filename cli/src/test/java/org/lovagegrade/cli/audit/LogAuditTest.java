package org.lovagegrade.cli.audit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.cli.trace.LogLine;

final class LogAuditTest {
    private static final String JOB = "5c0e7a21d94b36f8";

    private final List<LogLine> lines = new ArrayList<>();

    private void addLine(String source, long atMs, String event, String fields) {
        String text = source + " {\"atMs\":" + atMs + ",\"event\":\"" + event + "\"" + fields + "}";
        LogLine.parse("file.log", lines.size() + 1L, text).ifPresent(lines::add);
    }

    private List<String> violatedInvariants() {
        return LogAudit.of(lines).findings().stream().map(Finding::invariant).toList();
    }

    private void addLeadershipTaken(String source, long atMs, long term) {
        addLine(source, atMs, "leadershipTaken", ",\"term\":" + term);
    }

    private void addJobAccepted(String source, long atMs) {
        addLine(source, atMs, "jobAccepted", ",\"job\":\"" + JOB + "\"");
    }

    private void addJobOver(String source, long atMs, String state) {
        addLine(source, atMs, "jobOver", ",\"job\":\"" + JOB + "\",\"state\":\"" + state + "\"");
    }

    private void addStartDecided(String source, long atMs, long sinceDueMs) {
        addLine(source, atMs, "startDecided", ",\"run\":\"" + JOB + ".0.0.1#1\",\"sinceDueMs\":" + sinceDueMs);
    }

    private void addCallerGone(String source, long atMs) {
        addLine(source, atMs, "callerRefused", ",\"outcome\":\"CALLER_GONE\",\"path\":\"/p/" + JOB + "\"");
    }

    @Nested
    final class LogsWithoutViolations {
        @Test
        void shouldYieldNoFindings() {
            // given: a leader that is replaced between the start and the end of a job
            addLeadershipTaken("a", 1_000, 1);
            addLine("a", 1_001, "documentInForce", ",\"version\":3");
            addLine("a", 1_002, "workerIntroduced", ",\"worker\":\"w\",\"fence\":1");
            addJobAccepted("a", 1_010);
            addStartDecided("a", 1_020, 10);
            addLine("a", 2_000, "leadershipLost", ",\"term\":1");
            addLeadershipTaken("b", 2_500, 2);
            addLine("b", 2_510, "workerIntroduced", ",\"worker\":\"w\",\"fence\":2");
            addJobOver("b", 3_000, "GRAPH_COMPLETED");
            addCallerGone("b", 99_000);

            // when, then
            assertThat(violatedInvariants()).isEmpty();
            assertThat(LogAudit.of(lines).acceptedJobs()).isEqualTo(1);
        }
    }

    @Nested
    final class Leadership {
        @Test
        void shouldReportTwoLeadersOfOneTerm() {
            addLeadershipTaken("a", 1_000, 7);
            addLeadershipTaken("b", 5_000, 7);

            assertThat(violatedInvariants()).containsExactly("a term has one leader");
        }

        @Test
        void shouldReportAStartByAProcessThatIsNotLeader() {
            addLeadershipTaken("a", 1_000, 1);
            addLine("a", 2_000, "leadershipLost", ",\"term\":1");
            addStartDecided("a", 2_001, 10);

            assertThat(violatedInvariants()).containsExactly("only a leader starts tasks");
        }

        @Test
        void shouldReportALowerFencingTokenOfAWorker() {
            addLine("a", 1_000, "workerIntroduced", ",\"worker\":\"w\",\"fence\":5");
            addLine("b", 9_000, "workerIntroduced", ",\"worker\":\"w\",\"fence\":4");

            assertThat(violatedInvariants()).containsExactly("a worker never gets a lower fence");
        }
    }

    @Nested
    final class Jobs {
        @Test
        void shouldReportAStartBeforeTheJobIsDue() {
            addLeadershipTaken("a", 1_000, 1);
            addStartDecided("a", 1_100, -300);

            assertThat(violatedInvariants()).containsExactly("no task starts before its job is due");
        }

        @Test
        void shouldReportAStartAfterTheEndOfTheJob() {
            addLeadershipTaken("a", 1_000, 1);
            addJobOver("a", 1_100, "GRAPH_COMPLETED");
            addStartDecided("a", 1_101, 10);

            assertThat(violatedInvariants()).containsExactly("nothing of a job starts after its end");
        }

        @Test
        void shouldReportTwoDifferentEndsOfAJob() {
            addJobOver("a", 1_100, "GRAPH_COMPLETED");
            addJobOver("b", 1_200, "GRAPH_FAILED");

            assertThat(violatedInvariants()).containsExactly("a job has one end");
        }

        @Test
        void shouldReportAnAcceptedJobThatIsUnknownBeforeItsEnd() {
            addJobAccepted("a", 1_000);
            addCallerGone("b", 2_500);

            assertThat(violatedInvariants()).containsExactly("an accepted job is known until its end");
        }

        @Test
        void shouldAllowForClockSkewBetweenProcesses() {
            addJobAccepted("a", 1_000);
            addCallerGone("b", 1_500);

            assertThat(violatedInvariants()).isEmpty();
        }
    }

    @Nested
    final class Processes {
        @Test
        void shouldReportAnOlderConfigurationWithinOneIncarnation() {
            addLine("a", 1_000, "documentInForce", ",\"version\":9");
            addLine("a", 1_100, "documentInForce", ",\"version\":8");
            addLine("a", 1_200, "started", "");
            addLine("a", 1_300, "documentInForce", ",\"version\":7");

            assertThat(violatedInvariants()).containsExactly("a process never goes back to an older desired state");
        }

        @Test
        void shouldReportABrokenInvariant() {
            addLine("a", 1_000, "brokenInvariant", ",\"error\":\"x\"");

            assertThat(violatedInvariants()).containsExactly("no process ends by a broken invariant");
        }
    }

    @Nested
    final class OwnFleet {
        private void addPlacement(String source, long index, String worker) {
            addLine(
                    source,
                    1_000 + index,
                    "decision",
                    ",\"action\":\"PLACE\",\"index\":" + index + ",\"job\":\"" + JOB
                            + "\",\"task\":0,\"attempt\":1,\"worker\":\"" + worker + "\"");
        }

        private void addCommand(String source, long index, String command) {
            addLine(
                    source,
                    1_000 + index,
                    "applied",
                    ",\"command\":\"" + command + "\",\"index\":" + index + ",\"object\":\"" + JOB
                            + "\",\"status\":\"OK\"");
        }

        @Test
        void shouldCountAcceptedJobs() {
            addCommand("a", 1, "SUBMIT");
            addCommand("b", 1, "SUBMIT");
            addPlacement("a", 2, "w1");
            addPlacement("b", 2, "w1");

            assertThat(LogAudit.of(lines).acceptedJobs()).isEqualTo(1);
            assertThat(violatedInvariants()).isEmpty();
        }

        @Test
        void shouldReportReplicasThatDiffer() {
            addPlacement("a", 2, "w1");
            addPlacement("b", 2, "w2");

            assertThat(violatedInvariants()).containsExactly("all replicas apply the same commands and decisions");
        }

        @Test
        void shouldReportAPlacementAfterTheEndOfTheJob() {
            addCommand("a", 1, "SUBMIT");
            addCommand("a", 2, "CANCEL");
            addPlacement("a", 3, "w1");

            assertThat(violatedInvariants()).containsExactly("no task is placed after the end of its job");
        }
    }
}
