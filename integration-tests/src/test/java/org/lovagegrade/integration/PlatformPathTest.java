package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lovagegrade.kernel.http.SimpleHttpClient;
import org.lovagegrade.platform.EntryDaemon;
import org.lovagegrade.platform.StateDaemon;
import org.lovagegrade.testing.platform.EmulatedAdviser;
import org.lovagegrade.testing.platform.EmulatedRunner;
import org.lovagegrade.testing.platform.PlatformSite;

/** The platform's path with real processes against the emulated platform. */
final class PlatformPathTest {
    private static final int REPLICAS = 3;
    private static final int ENTRIES = 2;
    private static final int FIRST_PORT =
            10_500 + (int) (ProcessHandle.current().pid() % 30) * 40;
    private static final String GANG_THEN_TASKS = "[{\"count\":3,\"cpu\":2000,\"mem_mb\":64,\"gang\":true},"
            + "{\"count\":4,\"cpu\":1000,\"mem_mb\":64,\"after\":[0]}]";
    private static final int MAX_ATTEMPTS = 10;
    private static final long ORDER_TIMEOUT_MS = 2_000;
    private static final String FOUR_TASKS = "[{\"count\":4,\"cpu\":1000,\"mem_mb\":64}]";

    @TempDir
    private Path folder;

    private final SimpleHttpClient http = SimpleHttpClient.create();
    private final List<Program> replicas = new ArrayList<>();
    private final List<Program> entries = new ArrayList<>();
    private List<EmulatedRunner> runners = List.of();
    private EmulatedAdviser adviser;
    private PlatformSite site;

    @BeforeEach
    void startSite() {
        site = PlatformSite.of(folder, REPLICAS, ENTRIES, FIRST_PORT, http);
        site.writeSettings();
        for (int n = 0; n < REPLICAS; n++) {
            replicas.add(Program.of("replica-" + n, StateDaemon.class.getName(), folder)
                    .with(Map.of(
                            "LOVAGEGRADE_NODE_FILE", site.replicaSettings(n).toString()))
                    .start());
        }
        for (int n = 0; n < ENTRIES; n++) {
            entries.add(Program.of("entry-" + n, EntryDaemon.class.getName(), folder)
                    .with(Map.of("LOVAGEGRADE_NODE_FILE", site.entrySettings(n).toString()))
                    .start());
        }
        runners = site.runners(4);
        runners.forEach(EmulatedRunner::start);
        adviser = site.adviser();
        adviser.start();
        Await.until("the first desired state is accepted", () -> site.configure(0, 1, PlatformSite.SERVICE) == 200);
        Await.until("both entries are ready", () -> site.isReady(0) && site.isReady(1));
    }

    @AfterEach
    void stopSite() {
        entries.forEach(Program::kill);
        replicas.stream().filter(Program::isAlive).forEach(Program::kill);
        runners.forEach(EmulatedRunner::close);
        adviser.close();
        http.close();
    }

    private void awaitCompleted(String id) {
        Await.until("job " + id + " completes", () -> site.state(1, id).contains("completed"));
    }

    private List<String> begun() {
        return runners.stream().flatMap(runner -> runner.begun().stream()).toList();
    }

    @Nested
    final class Jobs {
        @Test
        void shouldRunAGangAndWhatWaitsForItOnceEach() {
            assertThat(site.submit(0, "a1", PlatformSite.KEY, GANG_THEN_TASKS, "run-ms=100"))
                    .isEqualTo(200);
            assertThat(site.submit(1, "a1", PlatformSite.KEY, GANG_THEN_TASKS, "run-ms=100"))
                    .isEqualTo(200);

            awaitCompleted("a1");

            assertThat(begun()).hasSize(7);
            assertThat(adviser.asked()).isAtLeast(2);
        }

        @Test
        void shouldRefuseWhatIsNotAllowed() {
            assertThat(site.submit(0, "a2", "unknown", FOUR_TASKS, "")).isEqualTo(401);
            assertThat(site.submit(0, "a2", PlatformSite.KEY, "[]", "")).isEqualTo(400);
            assertThat(site.cancel(0, "a2")).isEqualTo(410);
            assertThat(begun()).isEmpty();
        }

        @Test
        void shouldStopARunningJobThatIsCancelled() {
            site.submit(0, "a3", PlatformSite.KEY, FOUR_TASKS, "run-ms=60000");
            Await.until("its tasks run", () -> begun().size() == 4);

            assertThat(site.cancel(1, "a3")).isEqualTo(200);

            Await.until("nothing runs", () -> runners.stream().allMatch(runner -> runner.running() == 0));
            assertThat(site.state(0, "a3")).contains("cancelled");
        }
    }

    @Nested
    final class DesiredStates {
        @Test
        void shouldRefuseAnInvalidOneAndReadBackTheNewestAtEveryReplica() {
            assertThat(site.configure(1, 2, "unknown")).isEqualTo(400);
            assertThat(site.configure(2, 3, PlatformSite.SERVICE)).isEqualTo(200);

            for (int n = 0; n < REPLICAS; n++) {
                assertThat(site.configuration(n)).contains("\"version\":3");
            }
        }
    }

    @Nested
    final class Faults {
        @Test
        void shouldFinishWhatRunsWhenEachReplicaIsKilledInTurn() {
            site.submit(0, "b1", PlatformSite.KEY, FOUR_TASKS, "run-ms=2000");
            Await.until("its tasks run", () -> begun().size() == 4);

            for (Program replica : replicas) {
                replica.kill();
                replica.start();
                Await.until("a leader answers", () -> site.state(0, "b1").contains("state"));
            }

            awaitCompleted("b1");
            assertThat(begun()).hasSize(4);
        }

        @Test
        void shouldRunTasksElsewhereOnlyAfterTheLeaseOfAMuteRunner() {
            String job = submitUntilAMuteRunnerGetsAnOrder();
            runners.forEach(runner -> runner.mute(false));

            awaitCompleted(job);

            List<String> begun = begunOf(job);
            assertThat(new HashSet<>(begun)).hasSize(begun.size());
        }

        /** Runners that have been mute for longer than a renewal get no orders, so a slow machine needs several tries. */
        private String submitUntilAMuteRunnerGetsAnOrder() {
            for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
                runners.forEach(runner -> runner.mute(false));
                String earlier = "a" + attempt;
                Await.until(
                        "job " + earlier + " is accepted",
                        () -> site.submit(0, earlier, PlatformSite.KEY, FOUR_TASKS, "run-ms=10") == 200);
                awaitCompleted(earlier);
                runners.forEach(runner -> runner.mute(true));
                String job = "b2" + attempt;
                site.submit(0, job, PlatformSite.KEY, FOUR_TASKS, "run-ms=500");
                if (Await.holdsWithin(ORDER_TIMEOUT_MS, () -> !begunOf(job).isEmpty())) {
                    return job;
                }
            }
            throw new AssertionError(
                    "expected: an order at a mute runner\n  actual: none in " + MAX_ATTEMPTS + " tries");
        }

        private List<String> begunOf(String job) {
            return begun().stream().filter(task -> task.startsWith(job + ".")).toList();
        }

        @Test
        void shouldEndGracefullyAndSayThatItLeaves() {
            entries.get(0).terminate();

            Await.until("the entry is not ready", () -> !site.isReady(0));
            assertThat(site.submit(0, "b3", PlatformSite.KEY, FOUR_TASKS, "run-ms=10"))
                    .isEqualTo(200);
            assertThat(entries.get(0).awaitExit()).isEqualTo(143);
        }
    }
}
