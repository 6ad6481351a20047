package org.lovagegrade.graph.preemption;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagegrade.graph.machine.ResourceVector;
import org.lovagegrade.graph.machine.RunKey;
import org.lovagegrade.graph.machine.TaskKey;

final class PreemptionTest {
    private final Map<String, ResourceVector> free = new HashMap<>();
    private final List<StoppableRun> runs = new ArrayList<>();
    private long budgetMilliCores = 1_000_000;

    private static ResourceVector cores(long milliCores) {
        return new ResourceVector(milliCores, 0, 0);
    }

    private void addRun(String job, String worker, int priority, long milliCores, long lostCoreMs) {
        addMember(job, job, worker, priority, milliCores, lostCoreMs);
    }

    private void addMember(String unit, String job, String worker, int priority, long milliCores, long lostCoreMs) {
        free.putIfAbsent(worker, cores(0));
        RunKey key = new RunKey(new TaskKey(job, 0, 0, runs.size()), 1);
        runs.add(new StoppableRun(key, unit, worker, priority, cores(milliCores), lostCoreMs));
    }

    private CapacityRequest request(int tasks, long milliCores, boolean isGang) {
        List<String> workers = free.keySet().stream().sorted().toList();
        return new CapacityRequest(
                "urgent", 0, cores(milliCores), tasks, isGang, Integer.MAX_VALUE, milliCores, workers);
    }

    private List<StopDecision> decide(CapacityRequest... requests) {
        return new Preemption(free, runs, budgetMilliCores).decide(List.of(requests));
    }

    private static List<String> stoppedJobs(List<StopDecision> decisions) {
        return decisions.stream()
                .flatMap(decision -> decision.runs().stream())
                .map(run -> run.task().job())
                .toList();
    }

    @Nested
    final class Costs {
        @Test
        void shouldStopTheRunsWithTheLeastWorkLost() {
            addRun("old", "w1", 2, 8_000, 7_000);
            addRun("new", "w2", 2, 8_000, 1_000);

            assertThat(stoppedJobs(decide(request(1, 8_000, false)))).containsExactly("new");
        }

        @Test
        void shouldStopNoMoreRunsThanNeeded() {
            addRun("small", "w1", 2, 2_000, 10);
            addRun("large", "w1", 2, 8_000, 100);

            assertThat(stoppedJobs(decide(request(1, 8_000, false)))).containsExactly("large");
        }

        /** Guards against the stop of one gang member, with which all others are lost, as if it were a single run. */
        @Test
        void shouldCountAllMembersOfAGang() {
            addMember("gang", "gang", "w1", 2, 8_000, 1_000);
            addMember("gang", "gang", "w2", 2, 8_000, 1_000);
            addRun("single", "w3", 2, 8_000, 1_500);

            assertThat(stoppedJobs(decide(request(1, 8_000, false)))).containsExactly("single");
        }

        @Test
        void shouldUseWhatAllMembersOfAStoppedGangFree() {
            addMember("gang", "gang", "w1", 2, 8_000, 1_000);
            addMember("gang", "gang", "w2", 2, 8_000, 1_000);

            List<StopDecision> decisions = decide(request(2, 8_000, false));

            assertThat(stoppedJobs(decisions)).containsExactly("gang", "gang");
            assertThat(decisions.get(0).lostCoreMs()).isEqualTo(2_000);
        }

        /** Guards against preemption that wastes more than it serves. */
        @Test
        void shouldNotLoseMoreWorkThanTheTasksBring() {
            addRun("old", "w1", 2, 8_000, 8_001);

            assertThat(decide(request(1, 8_000, false))).isEmpty();
        }
    }

    @Nested
    final class Bounds {
        @Test
        void shouldStopNothingOfTheSameOrAHigherPriority() {
            addRun("same", "w1", 0, 8_000, 0);

            assertThat(decide(request(1, 8_000, false))).isEmpty();
        }

        @Test
        void shouldStopNothingIfEnoughIsAboutToBeFree() {
            addRun("run", "w1", 2, 8_000, 0);
            free.put("w2", cores(8_000));

            assertThat(decide(request(1, 8_000, false))).isEmpty();
        }

        /** Guards against two steps that count on the same free capacity. */
        @Test
        void shouldNotCountCapacityTwice() {
            addRun("run", "w1", 2, 8_000, 0);
            free.put("w2", cores(8_000));

            assertThat(stoppedJobs(decide(request(1, 8_000, false), request(1, 8_000, false))))
                    .containsExactly("run");
        }

        @Test
        void shouldStopNothingForAGangThatFitsPartlyOnly() {
            addRun("a", "w1", 2, 8_000, 0);
            addRun("b", "w2", 2, 8_000, 0);

            assertThat(decide(request(3, 8_000, true))).isEmpty();
            assertThat(stoppedJobs(decide(request(2, 8_000, true)))).containsExactly("a", "b");
        }

        @Test
        void shouldStayWithinItsBudgetOfCores() {
            addRun("a", "w1", 2, 8_000, 0);
            addRun("b", "w2", 2, 8_000, 0);
            budgetMilliCores = 12_000;

            assertThat(stoppedJobs(decide(request(2, 8_000, false)))).hasSize(1);
        }
    }

    /** Guards against a pass over all workers for each task. */
    @Test
    void shouldDecideOnAFullFleetInTime() {
        for (int worker = 0; worker < 245; worker++) {
            for (int run = 0; run < 9; run++) {
                addRun("j" + worker + "." + run, "w" + worker, 2, 7_000, 1_000 + run);
            }
        }
        CapacityRequest[] requests = new CapacityRequest[16];
        Arrays.fill(requests, request(3, 9_900, false));
        decide(requests);

        long startNs = System.nanoTime();
        List<StopDecision> decisions = decide(requests);

        assertThat(decisions).hasSize(16);
        assertThat((System.nanoTime() - startNs) / 1_000_000).isLessThan(250);
    }
}
