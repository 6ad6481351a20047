package org.lovagegrade.integration;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lovagegrade.testing.proxy.FaultProxy;

/** Every accepted job ends once, in one place, and every answer is true, whatever process dies. */
final class WorkUnderFailureTest {
    private static final int JOBS = 60;
    private static final long LONGER_THAN_EVERY_LEASE_MS = 9_000;

    @TempDir
    private Path folder;

    /** Submits jobs, lets a failure come in the midst of it, and checks what became of each job. */
    private void submitWhile(Consumer<Fleet> failure) {
        try (Fleet fleet = Fleet.start(folder, 3, 3)) {
            fleet.createBasics();
            Program workers = fleet.startWorkers("w", 4, "d1", fleet.entryNames());
            SubmitStorm storm =
                    new SubmitStorm(fleet.entryNames().stream().map(fleet::api).toList()).begin(JOBS, "run-ms=200");
            Await.until("some jobs are answered", () -> storm.answered() >= JOBS / 4);

            failure.accept(fleet);

            Map<String, Api.Reply> answers = storm.awaitAnswers();
            assertThat(answers).hasSize(JOBS);
            assertThat(storm.accepted()).hasSize(JOBS);
            awaitEnd(fleet, storm.accepted());
            WorkerHistory history = WorkerHistory.of(List.of(workers));
            history.assertPromisesHeld();
            for (String job : storm.accepted()) {
                assertWithMessage("how often %s ran to its end", job)
                        .that(history.endedTimes(job + "/0"))
                        .isEqualTo(1);
                Api.Reply again = Await.value("a resend of " + job + " is answered", () -> {
                    Api.Reply reply = fleet.api("e1").submit(job, "secret", "nightly", 1, 0.5, "run-ms=200");
                    return reply.status() == 0 || reply.status() >= 500 ? null : reply;
                });
                assertThat(again.json().path("job").asText()).isEqualTo(job);
            }
            assertWithMessage("resends made no new job")
                    .that(fleet.api("e1").jobs("secret").json().path("jobs").size())
                    .isEqualTo(JOBS);
        }
    }

    private static void awaitEnd(Fleet fleet, List<String> jobs) {
        for (String job : jobs) {
            Await.until(
                    job + " has ended",
                    () -> fleet.entryNames().stream()
                            .filter(entry -> fleet.program(entry).isAlive())
                            .anyMatch(entry -> fleet.api(entry)
                                    .job(job, "secret")
                                    .json()
                                    .path("state")
                                    .asText()
                                    .equals("ended")));
        }
    }

    @Test
    void shouldSurviveTheDeathOfTheLeader() {
        submitWhile(fleet -> {
            String leader = fleet.leader();
            fleet.program(leader).kill();
            Await.until("another leads", () -> !fleet.leader().equals(leader));
            fleet.startProgram(leader);
        });
    }

    @Test
    void shouldSurviveAGracefulShutdownOfTheLeader() {
        submitWhile(fleet -> {
            String leader = fleet.leader();
            fleet.program(leader).terminate();
            fleet.program(leader).awaitExit();
            fleet.startProgram(leader);
        });
    }

    @Test
    void shouldSurviveTheDeathOfAFollowerAndAnEntry() {
        submitWhile(fleet -> {
            String follower = fleet.follower();
            fleet.program(follower).kill();
            fleet.program("e2").kill();
            Await.pause(500);
            fleet.startProgram(follower);
            fleet.startProgram("e2");
        });
    }

    @Test
    void shouldSurviveTheDeathOfAllAtOnce() {
        submitWhile(fleet -> {
            fleet.replicaNames().forEach(name -> fleet.program(name).kill());
            fleet.entryNames().forEach(name -> fleet.program(name).kill());
            fleet.replicaNames().forEach(fleet::startProgram);
            fleet.entryNames().forEach(fleet::startProgram);
            fleet.entryNames().forEach(fleet::awaitServing);
        });
    }

    @Test
    void shouldSurviveALeaderThatIsPausedForLongerThanEveryLease() {
        submitWhile(fleet -> {
            String leader = fleet.leader();
            fleet.program(leader).pause();
            Await.pause(LONGER_THAN_EVERY_LEASE_MS);
            fleet.program(leader).resume();
        });
    }

    @Test
    void shouldSurviveALeaderCutOffInSilenceInBothWays() {
        submitWhile(fleet -> {
            List<FaultProxy> links = fleet.linksOf(fleet.leader());
            links.forEach(FaultProxy::holdAll);
            Await.pause(LONGER_THAN_EVERY_LEASE_MS);
            links.forEach(FaultProxy::heal);
        });
    }

    @Test
    void shouldSurviveALeaderThatIsHeardButDoesNotHear() {
        submitWhile(fleet -> {
            String leader = fleet.leader();
            List<FaultProxy> toLeader = fleet.replicaNames().stream()
                    .filter(name -> !name.equals(leader))
                    .map(name -> fleet.link(name, leader))
                    .toList();
            toLeader.forEach(proxy -> proxy.hold(FaultProxy.Direction.TO_TARGET));
            Await.pause(LONGER_THAN_EVERY_LEASE_MS);
            toLeader.forEach(FaultProxy::heal);
        });
    }

    @Test
    void shouldStopTasksOfAWorkerThatIsCutOffBeforeTheyRunElsewhere() {
        try (Fleet fleet = Fleet.start(folder, 3, 3)) {
            // given: a task that runs on a worker behind a link of its own
            fleet.createBasics();
            Program lonely = fleet.startWorkers("lonely", 1, "d1", List.of("e1"));
            Await.until(
                    "the task is accepted",
                    () -> fleet.api("e1")
                            .submit("long", "secret", "nightly", 1, 0.5, "run-ms=600000")
                            .isOk());
            Await.until(
                    "it runs", () -> WorkerHistory.of(List.of(lonely)).runs().size() == 1);
            Program others = fleet.startWorkers("other", 2, "d2", List.of("e2", "e3"));

            // when: the worker is cut off in silence and the task has moved
            fleet.link("platform", "e1-http").holdAll();
            Await.until(
                    "it runs elsewhere",
                    () -> WorkerHistory.of(List.of(others)).runs().size() == 1);

            // then: its first holder stopped it before, by its own clock
            WorkerHistory.of(List.of(lonely, others)).assertPromisesHeld();

            // when: the worker is back and reports late
            fleet.link("platform", "e1-http").heal();
            Await.pause(2_000);

            // then
            Api.Reply job = fleet.api("e2").job("long", "secret");
            assertThat(job.json().path("taskList").get(0).path("attempt").asInt())
                    .isEqualTo(2);
            assertThat(job.json().path("taskList").get(0).path("worker").asText())
                    .startsWith("other");
        }
    }
}
