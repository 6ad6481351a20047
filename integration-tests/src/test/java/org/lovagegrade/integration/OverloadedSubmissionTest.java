package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lovagegrade.kernel.http.HttpHeader;
import org.lovagegrade.kernel.http.HttpResult;

/** Twenty jobs beyond all capacity: the caller is told at once which of them can't start in time, and when to return. */
final class OverloadedSubmissionTest {
    private static final int JOBS = 20;
    private static final long TIMEOUT_MS = 15_000;
    private static final String JOB =
            "{\"class\": \"fitting\", \"cores\": 2, \"declaredRunMs\": 20000, " + "\"payload\": \"run-ms=20000\"}";

    @TempDir
    private Path folder;

    private static HttpResult.Answered submit(Fleet fleet, String entry, String requestId) {
        List<HttpHeader> headers = List.of(
                new HttpHeader("Lovagegrade-Key", "secret"), new HttpHeader("Lovagegrade-Request-Id", requestId));
        byte[] body = JOB.getBytes(StandardCharsets.UTF_8);
        return Await.value(
                requestId + " is answered",
                () -> fleet.http().send(fleet.httpAddress(entry), "POST", "/v1/jobs", headers, body, TIMEOUT_MS)
                                        instanceof HttpResult.Answered answered
                                && answered.status() < 500
                        ? answered
                        : null);
    }

    @Test
    void shouldBeRefusedWithARetryTimeThatALaterLeaderRepeats() {
        try (Fleet fleet = Fleet.startWithAdmissionControl(folder, 3, 1)) {
            // given
            fleet.createBasics();
            fleet.startWorkers("one", 1, "d1", List.of("e1"), "--milli-cores", "2000");
            Await.until(
                    "the worker is known",
                    () -> fleet.api("e1").status().json().path("workers").size() == 1);

            // when
            List<HttpResult.Answered> answers = new ArrayList<>();
            for (int i = 0; i < JOBS; i++) {
                answers.add(submit(fleet, "e1", "job-" + i));
            }

            // then
            HttpResult.Answered refused = answers.get(JOBS - 1);
            assertThat(answers.get(0).status()).isEqualTo(200);
            assertThat(refused.status()).isEqualTo(429);
            assertThat(refused.header("Lovagegrade-Outcome")).isEqualTo("not-run");
            assertThat(refused.text()).contains("\"reason\":\"overloaded\"");
            assertThat(Long.parseLong(refused.header("Retry-After"))).isAtLeast(1);

            // when
            fleet.program(fleet.leader()).kill();
            HttpResult.Answered again = submit(fleet, "e1", "job-" + (JOBS - 1));

            // then
            assertThat(again.text()).isEqualTo(refused.text());
            assertThat(again.header("Retry-After")).isEqualTo(refused.header("Retry-After"));
        }
    }
}
