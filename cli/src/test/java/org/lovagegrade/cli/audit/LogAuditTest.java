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

    private void line(String source, long atMs, String event, String fields) {
        String text = source + " {\"atMs\":" + atMs + ",\"event\":\"" + event + "\"" + fields + "}";
        LogLine.parse("file.log", lines.size() + 1L, text).ifPresent(lines::add);
    }

    private List<String> broken() {
        return LogAudit.of(lines).findings().stream().map(Finding::promise).toList();
    }

    private void leads(String source, long atMs, long term) {
        line(source, atMs, "leadershipTaken", ",\"term\":" + term);
    }

    private void accepted(String source, long atMs) {
        line(source, atMs, "jobAccepted", ",\"job\":\"" + JOB + "\"");
    }

    private void over(String source, long atMs, String state) {
        line(source, atMs, "jobOver", ",\"job\":\"" + JOB + "\",\"state\":\"" + state + "\"");
    }

    private void starts(String source, long atMs, long sinceDueMs) {
        line(source, atMs, "startDecided", ",\"run\":\"" + JOB + ".0.0.1#1\",\"sinceDueMs\":" + sinceDueMs);
    }

    private void gone(String source, long atMs) {
        line(source, atMs, "callerRefused", ",\"outcome\":\"CALLER_GONE\",\"path\":\"/p/" + JOB + "\"");
    }

    @Nested
    final class ADayThatKeptItsPromises {
        @Test
        void shouldGiveNoFindings() {
            // given: a leader that is replaced between the start and the end of a job
            leads("a", 1_000, 1);
            line("a", 1_001, "documentInForce", ",\"version\":3");
            line("a", 1_002, "workerIntroduced", ",\"worker\":\"w\",\"fence\":1");
            accepted("a", 1_010);
            starts("a", 1_020, 10);
            line("a", 2_000, "leadershipLost", ",\"term\":1");
            leads("b", 2_500, 2);
            line("b", 2_510, "workerIntroduced", ",\"worker\":\"w\",\"fence\":2");
            over("b", 3_000, "GRAPH_COMPLETED");
            gone("b", 99_000);

            // when, then
            assertThat(broken()).isEmpty();
            assertThat(LogAudit.of(lines).acceptedJobs()).isEqualTo(1);
        }
    }

    @Nested
    final class Leaders {
        @Test
        void shouldBeOneATerm() {
            leads("a", 1_000, 7);
            leads("b", 5_000, 7);

            assertThat(broken()).containsExactly("a term has one leader");
        }

        @Test
        void shouldBeAloneInStartingTasks() {
            leads("a", 1_000, 1);
            line("a", 2_000, "leadershipLost", ",\"term\":1");
            starts("a", 2_001, 10);

            assertThat(broken()).containsExactly("only a leader starts tasks");
        }

        @Test
        void shouldNeverLowerTheFenceOfAWorker() {
            line("a", 1_000, "workerIntroduced", ",\"worker\":\"w\",\"fence\":5");
            line("b", 9_000, "workerIntroduced", ",\"worker\":\"w\",\"fence\":4");

            assertThat(broken()).containsExactly("a worker never gets a lower fence");
        }
    }

    @Nested
    final class Jobs {
        @Test
        void shouldNotStartEarly() {
            leads("a", 1_000, 1);
            starts("a", 1_100, -300);

            assertThat(broken()).containsExactly("no task starts before its job is due");
        }

        @Test
        void shouldNotStartAfterTheirEnd() {
            leads("a", 1_000, 1);
            over("a", 1_100, "GRAPH_COMPLETED");
            starts("a", 1_101, 10);

            assertThat(broken()).containsExactly("nothing of a job starts after its end");
        }

        @Test
        void shouldHaveOneEnd() {
            over("a", 1_100, "GRAPH_COMPLETED");
            over("b", 1_200, "GRAPH_FAILED");

            assertThat(broken()).containsExactly("a job has one end");
        }

        @Test
        void shouldBeKnownUntilTheirEnd() {
            accepted("a", 1_000);
            gone("b", 2_500);

            assertThat(broken()).containsExactly("an accepted job is known until its end");
        }

        @Test
        void shouldNotBeMissedAtAProcessWhoseClockIsBehind() {
            accepted("a", 1_000);
            gone("b", 1_500);

            assertThat(broken()).isEmpty();
        }
    }

    @Nested
    final class Processes {
        @Test
        void shouldNotGoBackToAnOlderDesiredStateInOneLife() {
            line("a", 1_000, "documentInForce", ",\"version\":9");
            line("a", 1_100, "documentInForce", ",\"version\":8");
            line("a", 1_200, "started", "");
            line("a", 1_300, "documentInForce", ",\"version\":7");

            assertThat(broken()).containsExactly("a process never goes back to an older desired state");
        }

        @Test
        void shouldNotEndByABrokenInvariant() {
            line("a", 1_000, "brokenInvariant", ",\"error\":\"x\"");

            assertThat(broken()).containsExactly("no process ends by a broken invariant");
        }
    }
}
